// Package pwnaive is the baseline of the measurements: a load balancer with
// round robin over the servers, first come first served, no admission bound,
// no warm-up, and a blind retry after every failure, also when the outcome is
// not known.
//
// # Usage
//
//	b := pwnaive.New(pwnaive.Options{
//		Engines: engines,
//		Service: service,
//	})
//	err := b.Generate(ctx, generation, emit)
package pwnaive

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// Defaults of Options.
const (
	// MaxAttempts bounds the tries of one request.
	MaxAttempts = 4
	// RefreshInterval is how often the balancer reads the list of servers, which
	// is when it notices that a data centre was taken out.
	RefreshInterval = 10 * time.Second
	// callTimeout is the wait for a reply before the blind retry.
	callTimeout = 2 * time.Second
)

// Engine is what the balancer needs of a model engine.
type Engine interface {
	Generate(ctx context.Context, g pwengine.Generation, emit func(tokens []string) error) (pwengine.Finish, error)
}

// Service is what the balancer needs of a plain service.
type Service interface {
	Call(ctx context.Context, method, key string, body []byte) (status int, reply []byte, err error)
}

// Server is one model backend server.
type Server struct {
	ID         pwrequest.BackendServerID
	DataCentre pwrequest.DataCentre
	Engine     Engine
}

// Options describes a balancer.
type Options struct {
	Servers []Server
	Service Service
	// Latency is the one-way latency to a server.
	Latency time.Duration
}

// Balancer is the baseline. It is safe for concurrent use.
type Balancer struct {
	opts Options

	mu      sync.Mutex
	next    int
	out     map[pwrequest.DataCentre]bool
	known   []Server
	refresh time.Time
}

// New returns a balancer that knows all servers.
func New(opts Options) *Balancer {
	return &Balancer{
		opts:    opts,
		out:     map[pwrequest.DataCentre]bool{},
		known:   opts.Servers,
		refresh: time.Now(),
	}
}

// SetOutOfService takes a data centre out of service or brings it back. The balancer
// notices at its next refresh.
func (b *Balancer) SetOutOfService(dc pwrequest.DataCentre, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[dc] = out
}

// pick returns the next server in turn.
func (b *Balancer) pick() (Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.refresh) >= RefreshInterval {
		b.refresh = now
		b.known = lo.Reject(b.opts.Servers, func(s Server, _ int) bool { return b.out[s.DataCentre] })
	}
	if len(b.known) == 0 {
		return Server{}, false
	}
	b.next++
	return b.known[b.next%len(b.known)], true
}

// Generate sends a prompt to one server after another until one finishes it.
// Each try starts from the first token again.
func (b *Balancer) Generate(ctx context.Context, g pwengine.Generation, emit func(tokens []string) error) error {
	g.Priority = 0
	var err error
	for range MaxAttempts {
		server, ok := b.pick()
		if !ok {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate, "no server is known")
		}
		if err = sleep(ctx, b.opts.Latency); err != nil {
			return err
		}
		if _, err = server.Engine.Generate(ctx, g, emit); err == nil {
			return sleep(ctx, b.opts.Latency)
		}
		if ctx.Err() != nil || pwverdict.CauseOf(err) == pwverdict.CauseBadRequest {
			return err
		}
	}
	return err
}

// Call sends a call until a reply comes.
func (b *Balancer) Call(ctx context.Context, method, key string, body []byte) error {
	var err error
	for range MaxAttempts {
		if err = b.call(ctx, method, key, body); err == nil {
			return nil
		}
	}
	return err
}

func (b *Balancer) call(ctx context.Context, method, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := sleep(ctx, b.opts.Latency); err != nil {
		return err
	}
	_, _, err := b.opts.Service.Call(ctx, method, key, body)
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseOf(ctx.Err()), "request ended")
	}
}
