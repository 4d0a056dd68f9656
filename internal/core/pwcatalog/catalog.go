// Package pwcatalog holds the configuration that is in force: routes, services,
// workspaces and limits. A Catalog is immutable; each change of the configuration
// results in a new Catalog with a higher version.
//
// # Usage
//
//	c := pwcatalog.New(pwcatalog.Spec{
//		Version: 7,
//		Routes:  routes,
//	})
//	route, ok := c.Route("lanterns.example", "/notes/17")
//	workspace, ok := c.WorkspaceByKey(key)
package pwcatalog

import (
	"strings"
	"time"
)

// Kind determines how often the requests of a route may run.
type Kind uint8

const (
	// Unsafe requests run at most once. Unsafe is the zero value, so that requests of
	// an unknown kind are never retried.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests get a stream of events as their response. They may run more than
	// once if the route is resumable.
	Streaming
)

// String returns the name that is written to logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unsafe"
	}
}

// Share assigns a part of the requests of a route to a service, in proportion to Weight.
type Share struct {
	Service string
	Weight  float64
}

// Route describes how requests with one host and path prefix are served. Diff prints
// its fields, and those of Share, under their Go names.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits; 0 means no limit.
	Timeout time.Duration
	// Target is the time to the first token, or to the whole answer if it isn't a
	// stream, within which a request earns full credit.
	Target time.Duration
	// TargetGap is the longest gap between events with which an answer earns full
	// credit.
	TargetGap time.Duration
	// Attempts is the largest number of backend servers that may run one request.
	Attempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Public is set if requests of the route need no key.
	Public bool
	// Resumable is set if interrupted streams of the route can be resumed.
	Resumable bool
	// Shares lists the services that requests of the route are divided between.
	Shares []Share
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// MemoryTokens is the size of the KV cache of one engine, in tokens.
	MemoryTokens int64
	// StepMS is the duration of one decoding step without requests.
	StepMS float64
	// StepMSPerRequest and StepMSPerKContext are added to the time of a step for each
	// decoding request and for each 1,000 tokens of its context.
	StepMSPerRequest  float64
	StepMSPerKContext float64
	// PrefillTokensPerMS is the prefill rate without the cost of attention.
	PrefillTokensPerMS float64
	// AttentionMSPerMPairs is the prefill time that attention adds for each million
	// pairs of tokens.
	AttentionMSPerMPairs float64
	// PrefillChunkTokens is the largest number of prompt tokens that are prefilled in
	// one step.
	PrefillChunkTokens int
	// StepsPerIteration is the number of decoding steps in an iteration with decoding
	// requests.
	StepsPerIteration int
	// SplitContextMS is added to the steps of a request whose context is split over
	// several engines.
	SplitContextMS float64
	// ReportLag is the age of the load that an engine reports.
	ReportLag time.Duration
}

// Service describes the backend servers of one service.
type Service struct {
	Name            string
	HealthPath      string
	ConnectionLimit int
	// ColdRequestsPerSecond limits the rate of requests that all processes together
	// send to one cold backend server; 0 means no limit.
	ColdRequestsPerSecond float64
	// ColdDuration is the time for which a backend server is cold after its start.
	ColdDuration time.Duration
	// Engine describes the model engines; it is nil for plain services.
	Engine *Engine
}

// Equal reports whether two services have the same fields.
func (s Service) Equal(other Service) bool {
	engine, otherEngine := s.Engine, other.Engine
	s.Engine, other.Engine = nil, nil
	if engine == nil || otherEngine == nil {
		return s == other && engine == otherEngine
	}
	return s == other && *engine == *otherEngine
}

// Workspace is a customer whose callers send requests.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route, unless it is negative.
	Priority int
}

// Limits bounds the size and duration of what callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WorkspaceSpec is a workspace with the keys that its callers authenticate with.
type WorkspaceSpec struct {
	Workspace
	Keys []string
}

// Spec is the content of a configuration, from which New makes a Catalog.
type Spec struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []WorkspaceSpec
	// RequireKey is set if requests need a key even though Workspaces is empty, which then
	// admits nobody. With workspaces, requests always need a key.
	RequireKey bool
	Limits     Limits
	// Unreadable describes the parts of the configuration that could not be read and are
	// left out.
	Unreadable []string
}

// Catalog is one version of the configuration, indexed for look-ups.
type Catalog struct {
	head Head
	// routes holds the routes by lower-case host and by prefix.
	routes   index[*index[*Route]]
	services map[string]*Service
	// workspaces holds the workspaces by key.
	workspaces  index[*Workspace]
	serviceList []Service
	routeCount  int
	// unique is set if no two routes have the same host and prefix, and no two workspaces
	// the same key. What one of them takes away then is not still there by another.
	unique bool
}

// Head holds what describes a version apart from its routes, services and workspaces.
type Head struct {
	Version    int64
	Limits     Limits
	RequireKey bool
	Unreadable []string
}

// New returns a Catalog of spec. The Catalog refers to the slices of spec, which must not
// be changed afterwards.
func New(spec Spec) *Catalog {
	c := &Catalog{
		head: Head{
			Version:    spec.Version,
			Limits:     spec.Limits,
			RequireKey: spec.RequireKey || len(spec.Workspaces) > 0,
			Unreadable: spec.Unreadable,
		},
		routeCount: len(spec.Routes),
		unique:     true,
	}
	c.setServices(spec.Services)
	byHost := make(map[string]map[string]*Route)
	for i := range spec.Routes {
		r := &spec.Routes[i]
		host := strings.ToLower(r.Host)
		if byHost[host] == nil {
			byHost[host] = make(map[string]*Route)
		}
		c.unique = c.unique && byHost[host][r.Prefix] == nil
		byHost[host][r.Prefix] = r
	}
	hosts := make(map[string]*index[*Route], len(byHost))
	for host, routes := range byHost {
		ix := newIndex(routes)
		hosts[host] = &ix
	}
	c.routes = newIndex(hosts)
	byKey := make(map[string]*Workspace)
	for i := range spec.Workspaces {
		for _, key := range spec.Workspaces[i].Keys {
			// Requests without a key have the empty one.
			if key != "" {
				c.unique = c.unique && byKey[key] == nil
				byKey[key] = &spec.Workspaces[i].Workspace
			}
		}
	}
	c.workspaces = newIndex(byKey)
	return c
}

func (c *Catalog) setServices(services []Service) {
	c.serviceList = services
	c.services = make(map[string]*Service, len(services))
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
}

// Version returns the version. It increases with each change of the configuration.
func (c *Catalog) Version() int64 { return c.head.Version }

// Limits returns the limits on what callers send.
func (c *Catalog) Limits() Limits { return c.head.Limits }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routeCount }

// Unreadable describes the parts of the configuration that could not be read. They may
// hold routes and keys, so that what the catalog does not know may still be allowed. The
// caller must not change the slice.
func (c *Catalog) Unreadable() []string { return c.head.Unreadable }

// RequiresKey reports whether requests need a key. It does not depend on whether any
// workspace has one: the revocation of the last key must not admit everybody.
func (c *Catalog) RequiresKey() bool { return c.head.RequireKey }

// Route returns the route of the host whose prefix is the longest that path begins
// with. Prefixes end with a slash, so only the parts of path that end with a slash are
// looked up. A port in host is ignored.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	byPrefix, ok := c.routes.get(strings.ToLower(host))
	if !ok {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := byPrefix.get(path[:end+1]); ok {
			return r, true
		}
	}
	return nil, false
}

// Services returns all services. The caller must not change the slice.
func (c *Catalog) Services() []Service { return c.serviceList }

// Service returns the service with a name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// WorkspaceByKey returns the workspace that a key belongs to.
func (c *Catalog) WorkspaceByKey(key string) (*Workspace, bool) {
	return c.workspaces.get(key)
}

// PickService returns the service of a request, chosen by weight with draw, a random
// number in [0, 1). It returns "" if no service of the route has a weight above 0.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	picked := ""
	remaining := draw * total
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		picked = s.Service
		if remaining -= s.Weight; remaining < 0 {
			break
		}
	}
	return picked
}

// BackendServer is the platform's entry for one backend server.
type BackendServer struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address    string
	DataCentre string
	Slots      int
	// Draining is set if the server accepts no new work.
	Draining bool
	// ColdRemaining is the time for which the server stays cold, counted from the
	// time of the entry.
	ColdRemaining time.Duration
	// StartUnixMS is the start time of the server in Unix milliseconds. It
	// distinguishes incarnations with the same identifier.
	StartUnixMS int64
}
