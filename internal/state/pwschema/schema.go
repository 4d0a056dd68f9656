// Package pwschema decodes JSON strictly and checks it against a schema. The format
// of a value is a Go type with jsonschema struct tags, which hold the default, the
// unit and the range of each field. All problems are reported together, each with
// the path of the field, the value found and the values allowed.
//
// # Usage
//
//	schema := pwschema.Reflect(&Settings{}, "settings of a process")
//	c := pwschema.NewChecker("settings", isSecret)
//	tree, err := c.Decode(data)
//	tree = c.Check(schema, "", tree) // fills in the defaults
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

// maxDepth bounds the nesting of objects and arrays in the input.
const maxDepth = 16

// foundNothing is the text of Problem.Found for a missing required field.
const foundNothing = "nothing"

// OptionalTag is the name of the schema attribute that marks an object as optional.
// It is set with the struct tag jsonschema_extras. Check leaves out a missing
// optional object, and fills in any other missing object with the defaults of its
// fields.
const OptionalTag = "x-optional"

// Problem is one invalid field of a value.
type Problem struct {
	// Path names the field, for example "models[0].versions".
	Path string
	// Found describes the invalid value, and Allowed the values that are valid.
	Found   string
	Allowed string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s; allowed: %s", p.Path, p.Found, p.Allowed)
}

// Problems lists all problems of a value and implements error.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	return strings.Join(lo.Map(p, func(q Problem, _ int) string { return q.String() }), "\n")
}

// maxProblems bounds the number of problems in an error message.
const maxProblems = 100

// Err returns an error that wraps the problems, up to maxProblems of them, or nil when
// there are none. name is the name of the checked value in the message.
func (p Problems) Err(name string) error {
	if len(p) == 0 {
		return nil
	}
	total := len(p)
	p = p[:min(total, maxProblems)]
	return pwverdict.Wrap(p, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s has %d problems", name, total)
}

// Reflect returns the schema of the type of v, with the given title.
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

// Checker decodes a value, checks it against a schema and collects the problems.
type Checker struct {
	rootName string
	isSecret func(path string) bool
	problems Problems
}

// NewChecker returns a checker whose messages call the whole value rootName. Messages
// don't contain the values of fields for whose path isSecret returns true. isSecret
// may be nil.
func NewChecker(rootName string, isSecret func(path string) bool) *Checker {
	return &Checker{
		rootName: rootName,
		isSecret: isSecret,
	}
}

// Problems returns the problems found so far.
func (c *Checker) Problems() Problems { return c.problems }

// AddProblem records a problem. For a field with a secret value, it replaces found by
// a text without the value, unless found gives only the length or states that
// the field is missing.
func (c *Checker) AddProblem(path, found, allowed string, args ...any) {
	if c.isSecret != nil && c.isSecret(path) && !strings.HasPrefix(found, "text of") && found != foundNothing {
		found = "a value"
	}
	c.problems = append(c.problems, Problem{
		Path:    lo.CoalesceOrEmpty(path, c.rootName),
		Found:   found,
		Allowed: fmt.Sprintf(allowed, args...),
	})
}

// Decode reads one JSON value and keeps numbers as text. It reports repeated names in
// an object, because encoding/json would silently use the last value.
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
		return nil, errors.New("data after the " + c.rootName)
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

// Check checks v, the value at path, against s and returns v with the defaults filled
// in. It leaves out unknown fields.
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
			c.AddProblem(JoinPath(path, name), foundNothing, "%s", describeAllowed(sub))
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
		s.Pattern != "" && !compiledPattern(s.Pattern).MatchString(str),
		len(s.Enum) > 0 && !slices.Contains(s.Enum, any(str)):
		c.AddProblem(path, Describe(v), "%s", describeAllowed(s))
	}
}

func (c *Checker) checkInteger(s *jsonschema.Schema, path string, v any) {
	num, ok := v.(json.Number)
	if !ok {
		c.AddProblem(path, Describe(v), "%s", describeAllowed(s))
		return
	}
	n, ok := new(big.Int).SetString(string(num), 10)
	if !ok || s.Minimum != "" && n.Cmp(parseBound(s.Minimum)) < 0 || s.Maximum != "" && n.Cmp(parseBound(s.Maximum)) > 0 {
		c.AddProblem(path, Describe(v), "%s", describeAllowed(s))
	}
}

func parseBound(n json.Number) *big.Int {
	i, _ := new(big.Int).SetString(string(n), 10)
	return i
}

var patternCache sync.Map

// compiledPattern returns the compiled pattern p, from patternCache if possible.
func compiledPattern(p string) *regexp.Regexp {
	if re, ok := patternCache.Load(p); ok {
		return re.(*regexp.Regexp)
	}
	re := regexp.MustCompile(p)
	patternCache.Store(p, re)
	return re
}

// describeAllowed describes the values that a schema allows.
func describeAllowed(s *jsonschema.Schema) string {
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

// maxShownLength bounds the length of a value or field name in a message.
const maxShownLength = 40

// Describe returns a decoded value as it appears in a message. It replaces text and
// numbers longer than maxShownLength by their length, so that the message doesn't
// contain what may be a long credential.
func Describe(v any) string {
	switch v := v.(type) {
	case nil:
		return "null"
	case string:
		if utf8.RuneCountInString(v) > maxShownLength {
			return fmt.Sprintf("text of %d characters", utf8.RuneCountInString(v))
		}
		return fmt.Sprintf("%q", v)
	case json.Number:
		if len(v) > maxShownLength {
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

// JoinPath appends the name of a field to a path. It truncates a name longer than
// maxShownLength.
func JoinPath(path, name string) string {
	if len(name) > maxShownLength {
		name = name[:maxShownLength] + "..."
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// CheckUnique reports each item of a list whose value an earlier item has as well.
// field is appended to the path of the item, for example ".name".
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

// CheckOrder reports the field at lowPath when its value is greater than that of the
// field at highPath.
func (c *Checker) CheckOrder(lowPath string, lowValue int64, highPath string, highValue int64) {
	if lowValue > highValue {
		c.AddProblem(lowPath, fmt.Sprint(lowValue), "at most %s, which is %d", highPath, highValue)
	}
}
