package pwcatalog

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a key, host or route that is still there, or is gone, after a change that
// shares the maps of the version before, also while a configuration grows by many routes.
func TestChangedCatalogIsThatOfAllElements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.Custom(func(t *rapid.T) *Route {
			return &Route{
				Host:     rapid.SampledFrom([]string{"one.example", "One.example", "two.example"}).Draw(t, "host"),
				Prefix:   fmt.Sprintf("/%d/", rapid.IntRange(0, 300).Draw(t, "prefix")),
				Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
			}
		})
		workspace := rapid.Custom(func(t *rapid.T) *WorkspaceSpec {
			return &WorkspaceSpec{
				Workspace: Workspace{
					Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				},
				Keys: rapid.SliceOfN(rapid.SampledFrom([]string{"", "k1", "k2", "k3"}), 0, 2).Draw(t, "keys"),
			}
		})
		sizes := rapid.SampledFrom([]int{3, 200})
		var routes []*Route
		var workspaces []*WorkspaceSpec
		last := New(Spec{})
		for version := range rapid.IntRange(1, 5).Draw(t, "versions") {
			routesBefore, workspacesBefore := routes, workspaces
			routes = slices.Concat(chosen(t, routes), rapid.SliceOfN(route, 0, sizes.Draw(t, "new routes")).Draw(t, "routes"))
			workspaces = slices.Concat(chosen(t, workspaces), rapid.SliceOfN(workspace, 0, 2).Draw(t, "workspaces"))
			spec := Spec{
				Version: int64(version),
			}
			for _, r := range routes {
				spec.Routes = append(spec.Routes, *r)
			}
			for _, ws := range workspaces {
				spec.Workspaces = append(spec.Workspaces, *ws)
			}
			want := New(spec)
			got, ok := last.Next(Change{
				Head:              want.head,
				RemovedRoutes:     without(routesBefore, routes),
				AddedRoutes:       without(routes, routesBefore),
				RemovedWorkspaces: without(workspacesBefore, workspaces),
				AddedWorkspaces:   without(workspaces, workspacesBefore),
			})
			if !ok {
				if last.unique && want.unique {
					t.Fatal("a change without elements that hide each other is refused")
				}
				last = want
				continue
			}
			if d := want.Diff(got); len(d) > 0 || got.RouteCount() != want.RouteCount() || !want.unique {
				t.Fatalf("the changed catalog differs: %q, %d routes, want %d, unique %t", d, got.RouteCount(), want.RouteCount(), want.unique)
			}
			for _, key := range []string{"k1", "k2", "k3"} {
				g, _ := got.WorkspaceByKey(key)
				if w, _ := want.WorkspaceByKey(key); (g == nil) != (w == nil) || g != nil && *g != *w {
					t.Fatalf("the workspace of %s is %v, want %v", key, g, w)
				}
			}
			last = got
		}
	})
}

// chosen returns some of the elements of a version, which its next one keeps.
func chosen[T any](t *rapid.T, list []*T) []*T {
	keep := rapid.IntRange(0, 3).Draw(t, "kept of four")
	var out []*T
	for i, e := range list {
		if i%4 <= keep {
			out = append(out, e)
		}
	}
	return out
}

func without[T any](list, other []*T) []*T {
	return slices.DeleteFunc(slices.Clone(list), func(e *T) bool { return slices.Contains(other, e) })
}
