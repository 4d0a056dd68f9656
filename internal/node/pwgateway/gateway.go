// Package pwgateway is the HTTP gateway between the callers of the users'
// platform and its backend servers. It resolves the route and the workspace of a
// request, selects a backend server, forwards the request, and relays the
// response as it arrives. A stream that breaks is resumed on another backend
// server after the last event that was delivered to the caller.
//
// # Usage
//
//	g := pwgateway.New(pwgateway.Config{Codec: codec, Engines: engines}, obs)
//	g.SetCatalog(catalog)
//	g.ApplyServers(items, time.Time{})
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
	"github.com/pomeloweir/pomeloweir/internal/core/pwholding"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

// RequestMetadata holds what the headers of a caller's request state about it.
type RequestMetadata struct {
	// ID identifies the caller's attempt.
	ID string
	// Timeout is how long the caller waits for the response; 0 if it is not stated.
	Timeout time.Duration
	// Credential is the caller's key, or "".
	Credential string
	// PromptTokens is the length of the prompt, MaxOutputTokens the limit of the answer.
	PromptTokens    int64
	MaxOutputTokens int64
	// LastEventID is the event after which a stream is resumed, or "".
	LastEventID string
	// PromptParts holds the identifiers of the parts of the prompt, in order. Requests
	// share parts; the last one belongs to the request or its session.
	PromptParts []string
	// ExpectsWeights is set if only servers with certain weights may run the request.
	ExpectsWeights bool
}

// Helper is an engine that runs the prefill of a part of a prompt.
type Helper struct {
	Address string
	// ReservationID identifies the engine memory reserved for that part, or is "".
	ReservationID string
}

// ForwardMetadata holds what the gateway adds to a request that it forwards to a
// backend server.
type ForwardMetadata struct {
	// Instance is the id of the server that the request is meant for.
	Instance  string
	Workspace string
	// StripCredential is set when the caller's key must not reach the server.
	StripCredential bool
	// Remaining is the time until the request's deadline.
	Remaining   time.Duration
	LastEventID string
	// Urgency ranges from 0, the most urgent, to 9.
	Urgency int
	Helpers []Helper
}

// ResponseMetadata holds what the headers of a backend server's response state
// about it.
type ResponseMetadata struct {
	// ID identifies the attempt that the response belongs to, or is "".
	ID string
	// Signed is set when the response carries the server's signature.
	Signed bool
	// NotRun is set when the server states that it has not run the request.
	NotRun bool
	// Misdirected is set when the request is not meant for the server that responds: it is
	// another one than the expected server, or has other weights than the caller expects.
	Misdirected bool
	// Instance is the id of the server that responds, or "" if it is not stated.
	Instance string
	// RejectedBy is the address of the server that caused a rejection, or "".
	RejectedBy string
	// Limit is the number of requests a second that the server takes from all processes
	// together; Limited is set if it states one.
	Limit   float64
	Limited bool
	// Leaving is set if the server states that it leaves.
	Leaving bool
	// RetryAfter is how long a server that turns the request away wants nothing from this
	// process, or 0 if it states nothing.
	RetryAfter time.Duration
}

// Codec translates between the platform's headers and the gateway's types.
type Codec interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) (RequestMetadata, error)
	// SetForwardHeaders turns h, a copy of the caller's headers, into those sent to a server.
	SetForwardHeaders(h http.Header, f ForwardMetadata)
	// ParseResponse parses the headers of a server's response.
	ParseResponse(resp *http.Response) ResponseMetadata
	// SetRetryAfter sets the header that states when a caller may retry.
	SetRetryAfter(h http.Header, d time.Duration)
}

// EngineClient reserves and releases the memory of engines.
type EngineClient interface {
	// Reserve reserves memory for tokens under an id, or renews the reservation,
	// for the duration of hold. It returns false when the memory is not free, and
	// an error with CauseOutOfService when the address belongs to another server.
	Reserve(ctx context.Context, s pwcatalog.BackendServer, id string, tokens int64, hold time.Duration) (bool, error)
	// Release frees the memory reserved under an id.
	Release(ctx context.Context, s pwcatalog.BackendServer, id string) error
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Deployment pwdeployment.Deployment
	Codec      Codec
	Engines    EngineClient
	Fleet      pwfleet.Config
	Upstream   pwupstream.Config
	Policy     Policy
}

// Gateway is an HTTP handler that forwards callers' requests to backend servers.
// Its methods are safe for concurrent use, except SetStoreContact and
// SetOnLoadChange, which must be called before it serves.
type Gateway struct {
	cfg        Config
	codec      Codec
	engines    EngineClient
	pool       *pwupstream.Pool
	obs        *pwobserve.Observer
	dispatcher *dispatcher
	crashes    *crashTracker

	shutdown *shutdown

	catalog atomic.Pointer[pwcatalog.Catalog]
	// holdings is the memory that is held for running requests.
	holdings *pwholding.Ledger
	// serverBodies is the memory that request bodies take at the backend servers.
	serverBodies *pwholding.Servers
	// storeContact returns when the store last responded.
	storeContact func() time.Time
}

// New returns a gateway that has no configuration yet; it responds to requests
// with 503 until SetCatalog is called.
func New(cfg Config, obs *pwobserve.Observer) *Gateway {
	if cfg.Policy.MaxRequestMemory <= 0 {
		cfg.Policy.MaxRequestMemory = cfg.Policy.requestMemory(cfg.Deployment.MemoryBytes)
	}
	cfg.Policy = cfg.Policy.withDefaults()
	g := &Gateway{
		cfg:          cfg,
		codec:        cfg.Codec,
		engines:      cfg.Engines,
		pool:         pwupstream.New(cfg.Upstream),
		obs:          obs,
		storeContact: time.Now,
		shutdown:     newShutdown(),
		holdings:     pwholding.New(cfg.Policy.holdings()),
		serverBodies: pwholding.NewServers(cfg.Policy.SlowReaders.ServerBodyBytes),
	}
	g.crashes = newCrashTracker(obs)
	g.dispatcher = newDispatcher(pwfleet.New(cfg.Fleet), cfg.Deployment, cfg.Policy, obs)
	return g
}

// SetStoreContact sets the function that returns when the store last responded.
func (g *Gateway) SetStoreContact(lastContact func() time.Time) { g.storeContact = lastContact }

// SetOnLoadChange sets the function that is called when the load in flight changes.
func (g *Gateway) SetOnLoadChange(notify func()) { g.dispatcher.onLoadChange = notify }

// Configured reports whether the gateway has a configuration.
func (g *Gateway) Configured() bool { return g.catalog.Load() != nil }

// Limits returns the limits on callers from the configuration in force.
func (g *Gateway) Limits() pwcatalog.Limits {
	if c := g.catalog.Load(); c != nil {
		return c.Limits()
	}
	return pwcatalog.Limits{}
}

// SetBounds replaces the bounds of the deployment.
func (g *Gateway) SetBounds(b pwdeployment.Bounds) { g.dispatcher.setBounds(b) }

// SetCatalog replaces the configuration, unless the one in force is as new or newer.
func (g *Gateway) SetCatalog(c *pwcatalog.Catalog) {
	for {
		old := g.catalog.Load()
		if old != nil && old.Version() >= c.Version() {
			g.obs.LogEvent("config_ignored", log.Fields{
				"version":  c.Version(),
				"in_force": old.Version(),
			})
			return
		}
		if g.catalog.CompareAndSwap(old, c) {
			break
		}
	}
	g.dispatcher.configure(c)
	g.obs.LogEvent("config_in_force", log.Fields{
		"version": c.Version(),
		"routes":  c.RouteCount(),
	})
	if parts := c.Unreadable(); len(parts) > 0 {
		g.obs.Count("config_parts_unreadable", int64(len(parts)))
		g.obs.LogEvent("config_parts_unreadable", log.Fields{
			"version": c.Version(),
			"count":   len(parts),
			"first":   parts[0],
		})
	}
}

// ApplyOperatorRows applies changed rows of operators: marks that take a data
// centre out of service, and configurations. dataCentreOf returns the data centre
// that the key of a mark names.
func (g *Gateway) ApplyOperatorRows(items []pwcontrol.Item[pwcontrol.OperatorRow], dataCentreOf func(key string) (string, bool)) {
	for _, item := range items {
		// The key of a mark states everything, so that it counts also if the row cannot be
		// decoded.
		if dc, ok := dataCentreOf(item.Key); ok {
			g.dispatcher.setEvacuated(dc, !item.Removed)
			g.obs.LogEvent("data_centre_marked", log.Fields{
				"target_data_centre": dc,
				"out_of_service":     !item.Removed,
			})
			continue
		}
		if item.Err == nil && item.Value.Catalog != nil {
			g.SetCatalog(item.Value.Catalog)
		}
	}
}

// ApplyServers applies changed entries of backend servers. A non-zero relistBy
// states that removed entries lapsed while the store was unreachable; a server
// that is alive is listed again by that time.
func (g *Gateway) ApplyServers(items []pwcontrol.Item[pwcatalog.BackendServer], relistBy time.Time) {
	for _, item := range items {
		g.dispatcher.applyServer(item, relistBy)
		fields := log.Fields{
			"backend_server": item.Key,
			"row_version":    item.Version,
		}
		switch {
		case item.Removed && !relistBy.IsZero():
			g.obs.LogEvent("server_lapsed", fields)
		case item.Removed || item.Err != nil:
			g.obs.LogEvent("server_gone", fields)
		default:
			fields["service"] = item.Value.Service
			fields["draining"] = item.Value.Draining
			fields["cold_ms"] = item.Value.ColdRemaining.Milliseconds()
			fields["restored"] = item.Restored
			g.obs.LogEvent("server_listed", fields)
		}
	}
}

// runMaintenance regularly closes old connections, expires peers that send no
// more messages, and reports suppressed log lines.
func (g *Gateway) runMaintenance(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.pool.CloseExpired()
		g.dispatcher.maintain(time.Now())
		g.reportHoldings()
		if n := g.obs.TakeSkippedLines(); n > 0 {
			g.obs.LogEvent("lines_left_out", log.Fields{
				"count": n,
			})
		}
	}
}

// reportHoldings reports the memory that is held for callers.
func (g *Gateway) reportHoldings() {
	for _, c := range pwholding.Classes() {
		g.obs.SetGauge("held_bytes_"+c.String(), g.holdings.Held(c))
	}
}

// Run runs the gateway's background work until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	defer g.pool.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.runMaintenance(ctx)
	}()
	g.dispatcher.run(ctx)
	<-done
}
