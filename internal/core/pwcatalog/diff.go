package pwcatalog

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Problems returns a message for each fault that makes the configuration unusable, in a
// stable order.
func (c *Catalog) Problems() []string {
	out := slices.Clone(c.head.Unreadable)
	for _, r := range c.sortedRoutes() {
		name := "route " + r.Name
		if r.Prefix == "" || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
			out = append(out, fmt.Sprintf("%s: prefix is %q; it must begin and end with a slash", name, r.Prefix))
		}
		if r.PickService(0) == "" {
			out = append(out, name+": found no service with a weight above 0; one is needed")
		}
		for _, s := range r.Shares {
			if _, ok := c.services[s.Service]; !ok {
				out = append(out, fmt.Sprintf("%s: service %q is not in the configuration", name, s.Service))
			}
			if s.Weight < 0 {
				out = append(out, fmt.Sprintf("%s: weight of %q is %g; 0 or more is allowed", name, s.Service, s.Weight))
			}
		}
	}
	for i := range c.serviceList {
		if e := c.serviceList[i].Engine; e != nil && (e.PrefillTokensPerMS <= 0 || e.Slots <= 0 || e.MemoryTokens <= 0 || e.StepsPerIteration <= 0) {
			out = append(out, fmt.Sprintf("service %s: slots, memory, stride and reading rate of its engine must be above 0", c.serviceList[i].Name))
		}
	}
	return out
}

// routeAt returns the route of a host and prefix, or nil.
func (c *Catalog) routeAt(host, prefix string) *Route {
	byPrefix, ok := c.routes.get(strings.ToLower(host))
	if !ok {
		return nil
	}
	r, _ := byPrefix.get(prefix)
	return r
}

// sortedRoutes returns the routes sorted by host and prefix.
func (c *Catalog) sortedRoutes() []*Route {
	var out []*Route
	for _, byPrefix := range c.routes.all() {
		for _, r := range byPrefix.all() {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Route) int {
		switch {
		case a.Host+a.Prefix < b.Host+b.Prefix:
			return -1
		case a.Host+a.Prefix > b.Host+b.Prefix:
			return 1
		default:
			return 0
		}
	})
	return out
}

// Diff describes the changes in a newer configuration: one line for each route and
// service that differs, and the number of added and removed keys. Keys are secret and
// never included.
func (c *Catalog) Diff(newer *Catalog) []string {
	out := []string{}
	if c.head.Version != newer.head.Version {
		out = append(out, fmt.Sprintf("version %d to %d", c.head.Version, newer.head.Version))
	}
	if newer.head.Version < c.head.Version {
		out = append(out, "the version falls; gateways ignore it")
	}
	for _, r := range c.sortedRoutes() {
		n := newer.routeAt(r.Host, r.Prefix)
		switch {
		case n == nil:
			out = append(out, fmt.Sprintf("- route %s %s%s", r.Name, r.Host, r.Prefix))
		case !reflect.DeepEqual(*r, *n):
			out = append(out, fmt.Sprintf("~ route %s %s%s: %+v to %+v", r.Name, r.Host, r.Prefix, *r, *n))
		}
	}
	for _, r := range newer.sortedRoutes() {
		if c.routeAt(r.Host, r.Prefix) == nil {
			out = append(out, fmt.Sprintf("+ route %s %s%s", r.Name, r.Host, r.Prefix))
		}
	}
	for i := range c.serviceList {
		s := &c.serviceList[i]
		n, ok := newer.services[s.Name]
		switch {
		case !ok:
			out = append(out, "- service "+s.Name)
		case !reflect.DeepEqual(*s, *n):
			out = append(out, "~ service "+s.Name)
		}
	}
	for i := range newer.serviceList {
		if _, ok := c.services[newer.serviceList[i].Name]; !ok {
			out = append(out, "+ service "+newer.serviceList[i].Name)
		}
	}
	if c.head.RequireKey != newer.head.RequireKey {
		out = append(out, fmt.Sprintf("requests need a key: %t to %t", c.head.RequireKey, newer.head.RequireKey))
	}
	added, removed := 0, 0
	for key := range newer.workspaces.all() {
		if _, ok := c.workspaces.get(key); !ok {
			added++
		}
	}
	for key := range c.workspaces.all() {
		if _, ok := newer.workspaces.get(key); !ok {
			removed++
		}
	}
	if added+removed > 0 {
		out = append(out, fmt.Sprintf("keys: %d added, %d taken away", added, removed))
	}
	return out
}
