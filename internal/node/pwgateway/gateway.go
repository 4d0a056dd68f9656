// Package pwgateway serves callers on the users' platform: it finds the route
// and the workspace of a request, decides where it goes, sends it, and gives
// the answer back as it arrives. A stream that breaks goes on at another
// backend server after the last event that was delivered.
//
// # Usage
//
//	g := pwgateway.New(pwgateway.Config{Codec: codec, Engines: engines}, obs)
//	g.SetCatalog(catalog)
//	g.Servers(items, time.Time{})
//	http.Serve(listener, g)
package pwgateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

// RequestMetadata is what a caller says about its request.
type RequestMetadata struct {
	// ID names the caller's attempt.
	ID string
	// Timeout is how long the caller will wait; 0 if it doesn't say.
	Timeout time.Duration
	// Credential is the caller's credential, or "".
	Credential string
	// PromptTokens and Output are the length of the prompt and the bound of the answer.
	PromptTokens    int64
	MaxOutputTokens int64
	// LastEventID is the event after which a stream goes on, or "".
	LastEventID string
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	Address string
	// ReservationID names engine memory that is set aside, or "".
	ReservationID string
}

// ForwardMetadata is what the gateway tells a backend server beside the caller's request.
type ForwardMetadata struct {
	Instance  string
	Workspace string
	// StripCredential is set when the key must not reach the server.
	StripCredential bool
	Remaining       time.Duration
	LastEventID     string
	// Urgency is 0 for the most urgent requests, up to 9.
	Urgency int
	Helpers []Helper
}

// ResponseMetadata is what the head of an answer says.
type ResponseMetadata struct {
	// ID is the attempt that is answered, or "".
	ID string
	// Signed is set when the answer carries the server's signature.
	Signed bool
	// NotRun is set when the server states that it has not run the request.
	NotRun bool
	// Misdirected is set when another server has the address.
	Misdirected bool
	// RejectedBy is the address of the server that caused a rejection, or "".
	RejectedBy string
}

// Codec translates headers from and to the platform's names.
type Codec interface {
	ParseRequest(h http.Header) (RequestMetadata, error)
	// SetForwardHeaders changes a copy of the caller's headers into those for a server.
	SetForwardHeaders(h http.Header, f ForwardMetadata)
	ParseResponse(resp *http.Response) ResponseMetadata
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(h http.Header, d time.Duration)
}

// EngineClient gives orders to engines.
type EngineClient interface {
	// Reserve sets memory aside. It reports false when the memory is not free,
	// and fails with CauseOutOfService when another server has the address.
	Reserve(ctx context.Context, s pwcatalog.BackendServer, id string, tokens int64, hold time.Duration) (bool, error)
	Release(ctx context.Context, s pwcatalog.BackendServer, id string) error
}

// Config configures a Gateway.
type Config struct {
	Deployment pwdeployment.Deployment
	Codec      Codec
	Engines    EngineClient
	Fleet      pwfleet.Config
	Upstream   pwupstream.Config
	Policy     Policy
}

// Gateway serves callers.
type Gateway struct {
	cfg      Config
	codec    Codec
	engines  EngineClient
	pool     *pwupstream.Pool
	obs      *pwobserve.Observer
	dispatch *dispatcher
	crashes  *crashes

	catalog  atomic.Pointer[pwcatalog.Catalog]
	stopping atomic.Bool
	// bodies is the memory set aside for running requests.
	bodies  atomic.Int64
	contact func() time.Time
}

// New returns a gateway without a configuration; it answers 503 until it has one.
func New(cfg Config, obs *pwobserve.Observer) *Gateway {
	if cfg.Policy.MaxRequestMemory <= 0 {
		cfg.Policy.MaxRequestMemory = cfg.Deployment.MemoryBytes / bodyMemoryPart
	}
	cfg.Policy = cfg.Policy.withDefaults()
	g := &Gateway{
		cfg:     cfg,
		codec:   cfg.Codec,
		engines: cfg.Engines,
		pool:    pwupstream.New(cfg.Upstream),
		obs:     obs,
		contact: time.Now,
	}
	g.crashes = newCrashes()
	g.dispatch = newDispatcher(pwfleet.New(cfg.Fleet), cfg.Deployment, cfg.Policy, obs)
	return g
}

// SetStoreContact sets the function that tells when the store last answered.
func (g *Gateway) SetStoreContact(contact func() time.Time) { g.contact = contact }

// SetOnLoadChange sets the function that is called when the load changes.
func (g *Gateway) SetOnLoadChange(notify func()) { g.dispatch.notify = notify }

// BeginShutdown makes the gateway ask its callers to leave.
func (g *Gateway) BeginShutdown() { g.stopping.Store(true) }

// Configured reports whether a configuration is in force.
func (g *Gateway) Configured() bool { return g.catalog.Load() != nil }

// Limits returns the bounds on callers of the configuration in force.
func (g *Gateway) Limits() pwcatalog.Limits {
	if c := g.catalog.Load(); c != nil {
		return c.Limits()
	}
	return pwcatalog.Limits{}
}

// SetBounds takes over changed bounds of the deployment.
func (g *Gateway) SetBounds(b pwdeployment.Bounds) { g.dispatch.setBounds(b) }

// SetCatalog puts a configuration in force unless a newer one is.
func (g *Gateway) SetCatalog(c *pwcatalog.Catalog) {
	for {
		old := g.catalog.Load()
		if old != nil && old.Version() >= c.Version() {
			g.obs.Event("config_ignored", log.Fields{
				"version":  c.Version(),
				"in_force": old.Version(),
			})
			return
		}
		if g.catalog.CompareAndSwap(old, c) {
			break
		}
	}
	g.dispatch.configure(c)
	g.obs.Event("config_in_force", log.Fields{
		"version": c.Version(),
		"routes":  c.RouteCount(),
	})
}

// ApplyOperatorRows takes over rows that operators wrote.
func (g *Gateway) ApplyOperatorRows(items []pwcontrol.Item[pwcontrol.OperatorRow], dataCentreOf func(key string) (string, bool)) {
	for _, it := range items {
		if it.Err != nil {
			continue
		}
		if dc, ok := dataCentreOf(it.Key); ok {
			g.dispatch.evacuate(dc, !it.Removed)
			g.obs.Event("data_centre_marked", log.Fields{
				"target_data_centre": dc,
				"out_of_service":     !it.Removed,
			})
			continue
		}
		if it.Value.Catalog != nil {
			g.SetCatalog(it.Value.Catalog)
		}
	}
}

// ApplyServers takes over entries of backend servers.
func (g *Gateway) ApplyServers(items []pwcontrol.Item[pwcatalog.BackendServer], backBy time.Time) {
	for _, it := range items {
		g.dispatch.server(it, backBy)
		f := log.Fields{
			"backend_server": it.Key,
			"row_version":    it.Version,
		}
		switch {
		case it.Removed && !backBy.IsZero():
			g.obs.Event("server_lapsed", f)
		case it.Removed || it.Err != nil:
			g.obs.Event("server_gone", f)
		default:
			f["service"] = it.Value.Service
			f["draining"] = it.Value.Draining
			f["cold_ms"] = it.Value.ColdRemaining.Milliseconds()
			g.obs.Event("server_listed", f)
		}
	}
}

// loopMaintenance closes old connections and expires what is not renewed.
func (g *Gateway) loopMaintenance(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.pool.CloseExpired()
		g.dispatch.maintain(time.Now())
		if n := g.obs.LeftOut(); n > 0 {
			g.obs.Event("lines_left_out", log.Fields{
				"count": n,
			})
		}
	}
}

// Run does the gateway's background work until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	defer g.pool.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.loopMaintenance(ctx)
	}()
	g.dispatch.loop(ctx)
	<-done
}
