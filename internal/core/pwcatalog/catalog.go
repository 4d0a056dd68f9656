// Package pwcatalog holds the configuration that operators have put in force:
// routes, services, workspaces and limits. A Catalog is immutable; a change
// makes a new one with a higher version.
//
// # Usage
//
//	c := pwcatalog.New(pwcatalog.Spec{
//		Version: 7,
//		Routes:  routes,
//	})
//	route, ok := c.Route("lanterns.example", "/notes/17")
//	workspace, ok := c.Workspace(key)
package pwcatalog

import (
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

const (
	// Unsafe requests run at most once. It is the zero value, so that a kind
	// that is not understood is never repeated.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered with events.
	Streaming
)

// String returns the name used in logs.
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

// Share is the weight of one service in a route.
type Share struct {
	Service string
	Weight  int
}

// Route describes the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; 0 is none.
	Timeout time.Duration
	// Target is the time to the first token, or to the answer, that earns full credit.
	Target time.Duration
	// TargetGap is the longest pause between events of a timely answer.
	TargetGap time.Duration
	// Attempts bounds the backend servers that may run one request.
	Attempts int
	// Priority ranks requests; 0 is the highest.
	Priority  int
	Public    bool
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// MemoryTokens is the size of one engine's KV cache.
	MemoryTokens int64
	// StepMS is the time of one token step without writers.
	StepMS float64
	// StepMSPerRequest and ContextMSPerK are added to a step for each writing request
	// and for each 1,000 tokens of its context.
	StepMSPerRequest  float64
	StepMSPerKContext float64
	// PrefillTokensPerMS is the prefill rate.
	PrefillTokensPerMS float64
	// AttentionMSPerMPairs is the prefill time of a million pairs of tokens.
	AttentionMSPerMPairs float64
	// PrefillChunkTokens bounds the prompt tokens that are read in one step.
	PrefillChunkTokens int
	// StepsPerPass is the number of steps of a pass with writers.
	StepsPerPass int
	// SplitContextMS is added to a step of a request whose context lies on several engines.
	SplitContextMS float64
	// ReportLag is the age of an engine's report.
	ReportLag time.Duration
}

// Service describes the backend servers of one service.
type Service struct {
	Name            string
	HealthPath      string
	ConnectionLimit int
	// ColdRequestsPerSecond bounds the requests to one cold backend server, by all
	// processes together; 0 is no bound.
	ColdRequestsPerSecond float64
	// ColdDuration is how long a backend server stays cold after its start.
	ColdDuration time.Duration
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is one customer of the fleet.
type Workspace struct {
	Name string
	// Priority goes before the priority of the route; negative when not set.
	Priority int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WorkspaceSpec is a workspace with its keys.
type WorkspaceSpec struct {
	Workspace
	Keys []string
}

// Spec is the content of a configuration.
type Spec struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []WorkspaceSpec
	Limits     Limits
}

// Catalog is one version of the configuration.
type Catalog struct {
	version  int64
	routes   map[string]map[string]*Route
	services map[string]*Service
	keys     map[string]*Workspace
	list     []Service
	limits   Limits
	count    int
}

// New indexes a configuration.
func New(spec Spec) *Catalog {
	c := &Catalog{
		version:  spec.Version,
		routes:   make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(spec.Services)),
		keys:     make(map[string]*Workspace),
		list:     spec.Services,
		limits:   spec.Limits,
		count:    len(spec.Routes),
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		host := strings.ToLower(r.Host)
		if c.routes[host] == nil {
			c.routes[host] = make(map[string]*Route)
		}
		c.routes[host][r.Prefix] = r
	}
	for i := range spec.Services {
		c.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Workspaces {
		ws := &spec.Workspaces[i].Workspace
		for _, key := range spec.Workspaces[i].Keys {
			c.keys[key] = ws
		}
	}
	return c
}

// Version returns the version; versions only grow.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the bounds on what callers send.
func (c *Catalog) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.count }

// RequiresKey reports whether requests need a key.
func (c *Catalog) RequiresKey() bool { return len(c.keys) > 0 }

// Route returns the route of a host with the longest prefix that begins the
// path. Prefixes end with a slash, so that only those ends are looked up.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	byPrefix := c.routes[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := byPrefix[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Services returns all services. The slice must not be changed.
func (c *Catalog) Services() []Service { return c.list }

// Service returns a service by its name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// WorkspaceByKey returns the workspace that holds a key.
func (c *Catalog) WorkspaceByKey(key string) (*Workspace, bool) {
	ws, ok := c.keys[key]
	return ws, ok
}

// PickService returns the service for a draw in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	left := draw * float64(total)
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// BackendServer is what the platform lists about one backend server.
type BackendServer struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address    string
	DataCentre string
	Slots      int
	// Draining is set when the server takes no new work.
	Draining bool
	// ColdRemaining is how long it stayed cold at the time of the entry.
	ColdRemaining time.Duration
	// StartUnixMS is the Unix millisecond of its start; it tells incarnations apart
	// that carry the same identifier.
	StartUnixMS int64
}
