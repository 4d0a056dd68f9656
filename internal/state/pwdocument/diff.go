package pwdocument

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/state/pwschema"
)

// identityFields names the fields that identify an item of a list. Items are
// matched by the first of these fields that they have instead of by position, so
// inserting an item doesn't change the paths of the items after it.
var identityFields = []string{"id", "name", "role"}

// Diff returns the differences between two documents, one line for each field
// that differs, sorted by path: "- path: old" for a removed field, "+ path: new"
// for an added one and "~ path: old -> new" for a changed one. A nil document
// counts as empty.
func Diff(before, after *Document) []string {
	beforeFields, afterFields := flatten(before), flatten(after)
	paths := lo.Uniq(append(lo.Keys(beforeFields), lo.Keys(afterFields)...))
	slices.Sort(paths)
	var out []string
	for _, p := range paths {
		oldValue, inBefore := beforeFields[p]
		newValue, inAfter := afterFields[p]
		switch {
		case !inBefore:
			out = append(out, fmt.Sprintf("+ %s: %s", p, newValue))
		case !inAfter:
			out = append(out, fmt.Sprintf("- %s: %s", p, oldValue))
		case oldValue != newValue:
			out = append(out, fmt.Sprintf("~ %s: %s -> %s", p, oldValue, newValue))
		}
	}
	return out
}

// flatten returns the fields of a document as text, by path.
func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return out
	}
	tree, err := newChecker().Decode(raw)
	if err != nil {
		return out
	}
	flattenInto(out, "", tree)
	return out
}

func flattenInto(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, sub := range v {
			flattenInto(out, pwschema.JoinPath(path, name), sub)
		}
	case []any:
		for i, item := range v {
			flattenInto(out, fmt.Sprintf("%s[%s]", path, itemName(i, item)), item)
		}
	case string:
		out[path] = fmt.Sprintf("%q", v)
	default:
		out[path] = fmt.Sprint(v)
	}
}

// itemName returns the value that identifies a list item, or else its position.
func itemName(i int, item any) string {
	if m, ok := item.(map[string]any); ok {
		for _, f := range identityFields {
			if s, ok := m[f].(string); ok {
				return s
			}
		}
	}
	return fmt.Sprint(i)
}
