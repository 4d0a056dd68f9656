package pwcatalog

import "strings"

// Change is what differs between a configuration and the next one.
type Change struct {
	// Head is that of the next configuration.
	Head
	RemovedRoutes     []*Route
	AddedRoutes       []*Route
	RemovedWorkspaces []*WorkspaceSpec
	AddedWorkspaces   []*WorkspaceSpec
	// Services holds all services of the next configuration, or nil if they are the same.
	Services []Service
}

// Next returns the Catalog after a change, which shares with c what has not changed. An
// element that differs is removed and added. It returns false if the change is not exact:
// routes with the same host and prefix, or workspaces with the same key, hide each other,
// so that the Catalog must be made of all elements.
func (c *Catalog) Next(change Change) (*Catalog, bool) {
	if !c.unique {
		return nil, false
	}
	next := *c
	next.head = change.Head
	if change.Services != nil {
		next.setServices(change.Services)
	}
	next.routeCount += len(change.AddedRoutes) - len(change.RemovedRoutes)
	var ok bool
	if next.routes, ok = c.changedRoutes(change); !ok {
		return nil, false
	}
	if next.workspaces, ok = c.changedWorkspaces(change); !ok {
		return nil, false
	}
	return &next, true
}

func (c *Catalog) changedRoutes(change Change) (index[*index[*Route]], bool) {
	if len(change.RemovedRoutes)+len(change.AddedRoutes) == 0 {
		return c.routes, true
	}
	edits := make(map[string]*indexEdit[*Route])
	editOf := func(r *Route) *indexEdit[*Route] {
		host := strings.ToLower(r.Host)
		if edits[host] == nil {
			byPrefix, ok := c.routes.get(host)
			if !ok {
				ix := newIndex[*Route](nil)
				byPrefix = &ix
			}
			edits[host] = byPrefix.edit()
		}
		return edits[host]
	}
	for _, r := range change.RemovedRoutes {
		if !editOf(r).remove(r.Prefix) {
			return index[*index[*Route]]{}, false
		}
	}
	for _, r := range change.AddedRoutes {
		if !editOf(r).set(r.Prefix, r) {
			return index[*index[*Route]]{}, false
		}
	}
	hosts := c.routes.edit()
	for host, edit := range edits {
		if byPrefix := edit.finish(); byPrefix.length > 0 {
			hosts.set(host, &byPrefix)
		} else {
			hosts.remove(host)
		}
	}
	return hosts.finish(), true
}

func (c *Catalog) changedWorkspaces(change Change) (index[*Workspace], bool) {
	if len(change.RemovedWorkspaces)+len(change.AddedWorkspaces) == 0 {
		return c.workspaces, true
	}
	edit := c.workspaces.edit()
	for _, ws := range change.RemovedWorkspaces {
		for _, key := range ws.Keys {
			if key != "" && !edit.remove(key) {
				return index[*Workspace]{}, false
			}
		}
	}
	for _, ws := range change.AddedWorkspaces {
		for _, key := range ws.Keys {
			if key != "" && !edit.set(key, &ws.Workspace) {
				return index[*Workspace]{}, false
			}
		}
	}
	return edit.finish(), true
}
