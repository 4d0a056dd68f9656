package pwcatalog

import (
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// referenceRoute returns the name of the route with the longest matching prefix, found
// by comparing all routes.
func referenceRoute(routes []Route, host, path string) string {
	best, name := -1, ""
	for _, r := range routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > best {
			best, name = len(r.Prefix), r.Name
		}
	}
	return name
}

func TestRouteHasLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "a2", ""})
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
		}
		host := rapid.SampledFrom([]string{"one.example", "two.example"})
		var routes []Route
		seen := make(map[string]bool)
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			r := Route{
				Name:   string(rune('a' + i)),
				Host:   host.Draw(t, "host"),
				Prefix: strings.TrimSuffix(path("prefix"), "/") + "/",
			}
			if !seen[r.Host+r.Prefix] {
				routes = append(routes, r)
			}
			seen[r.Host+r.Prefix] = true
		}
		c := New(Spec{
			Routes: routes,
		})
		h, p := host.Draw(t, "asked host"), path("asked path")
		want := referenceRoute(routes, h, p)
		got, ok := c.Route(strings.ToUpper(h)+":8080", p)
		if ok != (want != "") || ok && got.Name != want {
			t.Fatalf("Route(%q, %q) is %v, %t, want %q", h, p, got, ok, want)
		}
	})
}

func TestPickShareFollowsWeights(t *testing.T) {
	r := Route{
		Shares: []Share{
			{
				Service: "old",
				Weight:  90,
			},
			{
				Service: "new",
				Weight:  10,
			},
			{
				Service: "none",
			},
		},
	}
	counts := make(map[string]int)
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		counts[r.PickService(rnd.Float64())]++
	}
	if counts["none"] != 0 || counts["new"] < 800 || counts["new"] > 1200 {
		t.Errorf("requests per service are %v, want about 9000 old, 1000 new and no others", counts)
	}
	if got := (&Route{}).PickService(0.5); got != "" {
		t.Errorf("a route without services returns service %q, want none", got)
	}
}

// Guards against requests for a service whose weight is 0 because no other one has a
// weight.
func TestRouteWithoutWeightsHasNoService(t *testing.T) {
	for _, weights := range [][]float64{{0}, {0, 0}, {-1, 0}} {
		var r Route
		for _, w := range weights {
			r.Shares = append(r.Shares, Share{
				Service: "old",
				Weight:  w,
			})
		}
		if got := r.PickService(0.5); got != "" {
			t.Errorf("weights %v give service %q, want none", weights, got)
		}
	}
	small := Route{
		Shares: []Share{
			{
				Service: "none",
			},
			{
				Service: "small",
				Weight:  0.001,
			},
		},
	}
	for _, draw := range []float64{0, 0.5, 0.9999999999999999} {
		if got := small.PickService(draw); got != "small" {
			t.Errorf("draw %g gives service %q, want the one with a weight", draw, got)
		}
	}
}

func TestOnlySafeAndResumableRoutesAreRepeatable(t *testing.T) {
	var r Route
	if r.Repeatable() {
		t.Error("a route without a kind is repeatable")
	}
	r.Kind = Streaming
	if r.Repeatable() {
		t.Error("a stream that can't be resumed is repeatable")
	}
	r.Resumable = true
	if !r.Repeatable() {
		t.Error("a stream that can be resumed is not repeatable")
	}
}
