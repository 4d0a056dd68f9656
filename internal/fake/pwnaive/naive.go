// Package pwnaive provides the baseline of the measurements: a load balancer with round
// robin over the servers, first come first served. It has no admission limit and no
// warm-up, and it retries blindly after every failure, also if the request may have run.
//
// # Usage
//
//	b := pwnaive.New(pwnaive.Options{
//		Servers: servers,
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

const (
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts = 4
	// RefreshInterval is the time between two reads of the list of servers. A change of
	// a data centre's service state takes effect at the next read.
	RefreshInterval = 10 * time.Second
	// callTimeout is the time from a call to a plain service to its blind retry.
	callTimeout = 2 * time.Second
)

// Engine generates the answer to a prompt on one model backend server.
type Engine interface {
	Generate(ctx context.Context, g pwengine.Generation, emit func(tokens []string) error) (pwengine.Finish, error)
}

// Service calls a method of a plain service.
type Service interface {
	Call(ctx context.Context, method, key string, body []byte) (status int, response []byte, err error)
}

// Server is one model backend server with its engine.
type Server struct {
	ID         pwrequest.BackendServerID
	DataCentre pwrequest.DataCentre
	Engine     Engine
}

// Options configures a balancer.
type Options struct {
	Servers []Server
	Service Service
	// Latency is the one-way latency to a server.
	Latency time.Duration
}

// Balancer is the baseline load balancer. It is safe for concurrent use.
type Balancer struct {
	opts Options

	mu           sync.Mutex
	position     int
	outOfService map[pwrequest.DataCentre]bool
	servers      []Server // in service at the last refresh
	refreshedAt  time.Time
}

// New returns a balancer with all servers in service.
func New(opts Options) *Balancer {
	return &Balancer{
		opts:         opts,
		outOfService: map[pwrequest.DataCentre]bool{},
		servers:      opts.Servers,
		refreshedAt:  time.Now(),
	}
}

// SetOutOfService takes a data centre out of service or brings it back. The change takes
// effect at the next refresh.
func (b *Balancer) SetOutOfService(dc pwrequest.DataCentre, outOfService bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outOfService[dc] = outOfService
}

// nextServer returns the next server in round-robin order, and false if all servers are
// out of service. It refreshes the list of servers if that is due.
func (b *Balancer) nextServer() (Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.refreshedAt) >= RefreshInterval {
		b.refreshedAt = now
		b.servers = lo.Reject(b.opts.Servers, func(s Server, _ int) bool { return b.outOfService[s.DataCentre] })
	}
	if len(b.servers) == 0 {
		return Server{}, false
	}
	b.position++
	return b.servers[b.position%len(b.servers)], true
}

// Generate sends a prompt to one server after another until one finishes it, up to
// MaxAttempts times. Each attempt starts again from the first token.
func (b *Balancer) Generate(ctx context.Context, g pwengine.Generation, emit func(tokens []string) error) error {
	g.Priority = 0
	var err error
	for range MaxAttempts {
		server, ok := b.nextServer()
		if !ok {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate, "no server is in service")
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

// Call sends a call to the plain service until it succeeds, up to MaxAttempts times.
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
