package pwdocument

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/state/pwschema"
)

// identityFields name the field by which items of a list are matched, so that
// an item inserted at the front is one added line.
var identityFields = []string{"id", "name", "role"}

// Diff returns the differences between two documents, one line for each field
// path in sorted order: "- path: old" for a removed field, "+ path: new" for
// an added one and "~ path: old -> new" for a changed one. A nil document is
// empty.
func Diff(a, b *Document) []string {
	before, after := flatten(a), flatten(b)
	paths := lo.Uniq(append(lo.Keys(before), lo.Keys(after)...))
	slices.Sort(paths)
	var out []string
	for _, p := range paths {
		x, inA := before[p]
		y, inB := after[p]
		switch {
		case !inA:
			out = append(out, fmt.Sprintf("+ %s: %s", p, y))
		case !inB:
			out = append(out, fmt.Sprintf("- %s: %s", p, x))
		case x != y:
			out = append(out, fmt.Sprintf("~ %s: %s -> %s", p, x, y))
		}
	}
	return out
}

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
