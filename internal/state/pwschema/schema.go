// Package pwschema reads JSON strictly. The format of a value is a Go type with
// jsonschema struct tags, which hold the default, the unit and the range of
// each field. Everything that is wrong is reported at once, each problem with
// the field, what was found and what is allowed.
//
// # Usage
//
//	schema := pwschema.Reflect(&Settings{}, "settings of a process")
//	c := pwschema.NewChecker("settings", isSecret)
//	tree, err := c.Decode(data)
//	tree = c.Check(schema, "", tree) // with defaults filled in
//	if err := c.Problems().Err("settings"); err != nil {
//		// err wraps Problems
//	}
package pwschema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"regexp"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/invopop/jsonschema"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// maxDepth bounds the nesting of the JSON that is read.
const maxDepth = 16

// absent is what a problem shows for a required field that is left out.
const absent = "nothing"

// OptionalTag marks a part that may be left out as a whole. Other parts are
// filled in with the defaults of their fields. It is the value of the struct
// tag jsonschema_extras.
const OptionalTag = "x-optional"

// Problem is one fault of a value.
type Problem struct {
	// Path names the field, for example "models[0].versions".
	Path    string
	Found   string
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s; allowed: %s", p.Path, p.Found, p.Allowed)
}

// Problems lists all faults of a value, as an error with one line for each.
type Problems []Problem

// Error implements error, with one line for each problem.
func (p Problems) Error() string {
	return strings.Join(lo.Map(p, func(q Problem, _ int) string { return q.String() }), "\n")
}

// maxProblems bounds the length of an error message.
const maxProblems = 100

// Err returns an error that wraps the problems, or nil when there are none.
// what names the value that was read.
func (p Problems) Err(what string) error {
	if len(p) == 0 {
		return nil
	}
	all := len(p)
	p = p[:min(all, maxProblems)]
	return pwverdict.Wrap(p, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s has %d problems", what, all)
}

// Reflect returns the schema of the type of v.
func Reflect(v any, title string) *jsonschema.Schema {
	r := &jsonschema.Reflector{
		Anonymous:                  true,
		DoNotReference:             true,
		RequiredFromJSONSchemaTags: true,
	}
	s := r.Reflect(v)
	s.Title = title
	return s
}

// Checker compares a decoded document with the schema and collects problems.
type Checker struct {
	root     string
	secret   func(path string) bool
	problems Problems
}

// NewChecker returns a checker of a value that messages call root. Values of
// fields for which secret returns true are never repeated in a message; secret
// may be nil.
func NewChecker(root string, secret func(path string) bool) *Checker {
	return &Checker{
		root:   root,
		secret: secret,
	}
}

// Problems returns what was found so far.
func (c *Checker) Problems() Problems { return c.problems }

// AddProblem records a problem.
func (c *Checker) AddProblem(path, found, allowed string, args ...any) {
	if c.secret != nil && c.secret(path) && !strings.HasPrefix(found, "text of") && found != absent {
		found = "a value"
	}
	c.problems = append(c.problems, Problem{
		Path:    lo.CoalesceOrEmpty(path, c.root),
		Found:   found,
		Allowed: fmt.Sprintf(allowed, args...),
	})
}

// Decode reads one JSON value with numbers kept as text. Repeated names in an
// object are reported, because encoding/json would silently use the last.
func (c *Checker) Decode(data []byte) (any, error) {
	if !utf8.Valid(data) {
		return nil, errors.New("invalid UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	v, err := c.decodeValue(dec, "", 0)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the " + c.root)
	}
	return v, nil
}

func (c *Checker) decodeValue(dec *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("more than %d nested levels", maxDepth)
	}
	t, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		out := map[string]any{}
		for dec.More() {
			k, err := dec.Token()
			if err != nil {
				return nil, err
			}
			name, _ := k.(string)
			v, err := c.decodeValue(dec, JoinPath(path, name), depth+1)
			if err != nil {
				return nil, err
			}
			if _, repeated := out[name]; repeated {
				c.AddProblem(JoinPath(path, name), "the field twice", "each field once")
			}
			out[name] = v
		}
		_, err := dec.Token()
		return out, err
	case json.Delim('['):
		out := []any{}
		for dec.More() {
			v, err := c.decodeValue(dec, fmt.Sprintf("%s[%d]", path, len(out)), depth+1)
			if err != nil {
				return nil, err
			}
			out = append(out, v)
		}
		_, err := dec.Token()
		return out, err
	default:
		return t, nil
	}
}

// Check compares v with s and returns v with defaults filled in.
func (c *Checker) Check(s *jsonschema.Schema, path string, v any) any {
	switch s.Type {
	case "object":
		return c.checkObject(s, path, v)
	case "array":
		return c.checkArray(s, path, v)
	case "string":
		c.checkString(s, path, v)
	case "integer":
		c.checkInteger(s, path, v)
	case "boolean":
		if _, ok := v.(bool); !ok {
			c.AddProblem(path, Describe(v), "true or false")
		}
	}
	return v
}

func (c *Checker) checkObject(s *jsonschema.Schema, path string, v any) any {
	in, ok := v.(map[string]any)
	if !ok {
		c.AddProblem(path, Describe(v), "an object")
		return v
	}
	out := map[string]any{}
	names := lo.Keys(in)
	slices.Sort(names)
	for _, name := range names {
		sub, known := s.Properties.Get(name)
		if !known {
			c.AddProblem(JoinPath(path, name), "an unknown field", "%s", strings.Join(slices.Collect(s.Properties.KeysFromOldest()), ", "))
			continue
		}
		out[name] = c.Check(sub, JoinPath(path, name), in[name])
	}
	for name, sub := range s.Properties.FromOldest() {
		if _, present := in[name]; present {
			continue
		}
		switch {
		case slices.Contains(s.Required, name):
			c.AddProblem(JoinPath(path, name), absent, "%s", allowed(sub))
		case sub.Default != nil:
			out[name] = sub.Default
		case sub.Type == "object" && sub.Extras[OptionalTag] == nil:
			out[name] = c.Check(sub, JoinPath(path, name), map[string]any{})
		}
	}
	return out
}

func (c *Checker) checkArray(s *jsonschema.Schema, path string, v any) any {
	in, ok := v.([]any)
	if !ok {
		c.AddProblem(path, Describe(v), "a list")
		return v
	}
	n := uint64(len(in))
	if s.MinItems != nil && n < *s.MinItems {
		c.AddProblem(path, fmt.Sprintf("%d items", n), "at least %d items", *s.MinItems)
	}
	if s.MaxItems != nil && n > *s.MaxItems {
		c.AddProblem(path, fmt.Sprintf("%d items", n), "at most %d items", *s.MaxItems)
	}
	return lo.Map(in, func(item any, i int) any {
		return c.Check(s.Items, fmt.Sprintf("%s[%d]", path, i), item)
	})
}

func (c *Checker) checkString(s *jsonschema.Schema, path string, v any) {
	str, ok := v.(string)
	n := uint64(utf8.RuneCountInString(str))
	switch {
	case !ok,
		s.MinLength != nil && n < *s.MinLength,
		s.MaxLength != nil && n > *s.MaxLength,
		s.Pattern != "" && !pattern(s.Pattern).MatchString(str),
		len(s.Enum) > 0 && !slices.Contains(s.Enum, any(str)):
		c.AddProblem(path, Describe(v), "%s", allowed(s))
	}
}

func (c *Checker) checkInteger(s *jsonschema.Schema, path string, v any) {
	num, ok := v.(json.Number)
	if !ok {
		c.AddProblem(path, Describe(v), "%s", allowed(s))
		return
	}
	n, ok := new(big.Int).SetString(string(num), 10)
	if !ok || s.Minimum != "" && n.Cmp(bound(s.Minimum)) < 0 || s.Maximum != "" && n.Cmp(bound(s.Maximum)) > 0 {
		c.AddProblem(path, Describe(v), "%s", allowed(s))
	}
}

func bound(n json.Number) *big.Int {
	i, _ := new(big.Int).SetString(string(n), 10)
	return i
}

var patterns sync.Map

func pattern(p string) *regexp.Regexp {
	if re, ok := patterns.Load(p); ok {
		return re.(*regexp.Regexp)
	}
	re := regexp.MustCompile(p)
	patterns.Store(p, re)
	return re
}

// allowed describes the values that a schema accepts.
func allowed(s *jsonschema.Schema) string {
	switch {
	case len(s.Enum) > 0:
		return "one of " + strings.Join(lo.Map(s.Enum, func(e any, _ int) string { return fmt.Sprintf("%q", e) }), ", ")
	case s.Type == "integer" && s.Minimum != "":
		return fmt.Sprintf("a whole number from %s to %s", s.Minimum, s.Maximum)
	case s.Type == "integer":
		return "a whole number"
	case s.Type == "string" && s.MaxLength != nil && s.Pattern != "":
		return fmt.Sprintf("text of at most %d characters that matches %s", *s.MaxLength, s.Pattern)
	case s.Type == "string" && s.MaxLength != nil:
		return fmt.Sprintf("text of 1 to %d characters", *s.MaxLength)
	case s.Type == "array":
		return "a list"
	case s.Type == "string":
		return "text"
	default:
		return "an " + s.Type
	}
}

// maxShown bounds how much of a wrong value is repeated in a message.
const maxShown = 40

// Describe shows a decoded value in a message. Text that looks like a
// credential is never longer than maxShown.
func Describe(v any) string {
	switch v := v.(type) {
	case nil:
		return "null"
	case string:
		if utf8.RuneCountInString(v) > maxShown {
			return fmt.Sprintf("text of %d characters", utf8.RuneCountInString(v))
		}
		return fmt.Sprintf("%q", v)
	case json.Number:
		if len(v) > maxShown {
			return fmt.Sprintf("a number of %d digits", len(v))
		}
		return string(v)
	case bool:
		return fmt.Sprint(v)
	case []any:
		return fmt.Sprintf("a list of %d", len(v))
	default:
		return "an object"
	}
}

// JoinPath appends a name to a field path.
func JoinPath(path, name string) string {
	if len(name) > maxShown {
		name = name[:maxShown] + "..."
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// CheckUnique reports each value of a list that an earlier item has too. field
// is appended to the item's path, for example ".name".
func (c *Checker) CheckUnique(list, field string, values []string) {
	seen := map[string]int{}
	for i, v := range values {
		if first, repeated := seen[v]; repeated && v != "" {
			c.AddProblem(fmt.Sprintf("%s[%d]%s", list, i, field), fmt.Sprintf("%q", v),
				"a value other than that of %s[%d]", list, first)
			continue
		}
		seen[v] = i
	}
}

// CheckOrder reports the field low, with value a, when it is above the field
// high, with value b.
func (c *Checker) CheckOrder(low string, a int64, high string, b int64) {
	if a > b {
		c.AddProblem(low, fmt.Sprint(a), "at most %s, which is %d", high, b)
	}
}
