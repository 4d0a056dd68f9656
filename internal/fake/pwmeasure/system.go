// Package pwmeasure compares the naive baseline with the current design, and runs
// the current design under seeded random faults. Both systems run on the runtime's
// clock, with the same fakes of engines and services and the same arrivals.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		s, err := pwmeasure.NewCurrent(ctx, pwworkload.Collective(), 1, pwmeasure.TokensPerEmit)
//		result := pwmeasure.Run(ctx, s, arrivals, pwmeasure.RunOptions{})
//	})
package pwmeasure

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/core/pwwarmup"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwnaive"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwworkload"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
)

// TokensPerEmit is how many decoded tokens an engine emits together, so that a run
// takes less real time. The first token of each response is always emitted alone.
const TokensPerEmit = 8

// Submitter accepts prompts.
type Submitter interface {
	// Submit sends a prompt, emits the tokens of its response with their offsets,
	// and returns when the response has ended. It calls admitted when the system
	// has admitted the request.
	Submit(ctx context.Context, a pwworkload.Arrival, admitted func(), emit func(offset int64, tokens []string) error) error
}

// System is a load balancer with its engines and service, as measurements use it.
type System interface {
	Submitter
	// Reserve makes one reservation with an idempotency key.
	Reserve(ctx context.Context, key string) error
	// TakeOut takes a data centre out of service.
	TakeOut(dc pwrequest.DataCentre)
	// BringBack brings a data centre back into service.
	BringBack(dc pwrequest.DataCentre)
	// Engines returns the engines of a data centre; "" means all.
	Engines(dc pwrequest.DataCentre) []*pwfakeengine.Engine
	// Service returns the fake service that runs the reservations.
	Service() *pwfakeservice.Service
	// LastNewWork returns when a data centre last got new work.
	LastNewWork(dc pwrequest.DataCentre) time.Time
	// ReservedTokens returns the engine memory, in tokens, that the system counts as
	// reserved.
	ReservedTokens() int64
	// Close stops the system.
	Close()
}

// EngineCapacity returns the capacity of the fake engine with its default options
// and the default bounds of a warm engine.
func EngineCapacity() pwworkload.EngineSpec {
	return pwworkload.EngineSpec{
		PrefillRate:  pwfakeengine.DefaultPrefillRate,
		MemoryTokens: pwfakeengine.DefaultMemoryTokens,
		Slots:        pwwarmup.DefaultFullBound,
		StepTime:     pwfakeengine.DefaultStepBase + pwwarmup.DefaultFullBound*pwfakeengine.DefaultStepPerSequence,
	}
}

// Naive is the naive baseline as a System.
type Naive struct {
	org      pwworkload.Organisation
	balancer *pwnaive.Balancer
	service  *pwfakeservice.Service
	engines  map[pwrequest.DataCentre][]*pwfakeengine.Engine
	stop     context.CancelFunc
}

// NewNaive starts the naive baseline with warm engines.
func NewNaive(ctx context.Context, org pwworkload.Organisation, seed uint64) *Naive {
	ctx, stop := context.WithCancel(ctx)
	n := &Naive{
		org:     org,
		service: pwfakeservice.New(),
		engines: map[pwrequest.DataCentre][]*pwfakeengine.Engine{},
		stop:    stop,
	}
	var servers []pwnaive.Server
	for i, dc := range org.DataCentres {
		for j := range org.EnginesPerDataCentre[i] {
			e := pwfakeengine.New(ctx, pwfakeengine.Options{
				Name:          fmt.Sprintf("%s-%02d", dc, j),
				Seed:          seed + uint64(len(servers)),
				StartWarm:     true,
				TokensPerEmit: TokensPerEmit,
			})
			n.engines[dc] = append(n.engines[dc], e)
			servers = append(servers, pwnaive.Server{
				ID:         pwrequest.BackendServerID(e.Name()),
				DataCentre: dc,
				Engine:     e,
			})
		}
	}
	n.balancer = pwnaive.New(pwnaive.Options{
		Servers: servers,
		Service: n.service,
		Latency: org.CrossDataCentreLatency,
	})
	return n
}

// Submit implements System. The baseline admits every request.
func (n *Naive) Submit(ctx context.Context, a pwworkload.Arrival, admitted func(), emit func(int64, []string) error) error {
	time.Sleep(n.org.ClientLatency)
	admitted()
	var offset int64
	return n.balancer.Generate(ctx, pwengine.Generation{
		AttemptID:    pwrequest.AttemptID(fmt.Sprint(a.Number)),
		Prompt:       a.Prompt,
		PromptTokens: a.PromptTokens,
		MaxTokens:    a.MaxTokens,
	}, func(tokens []string) error {
		err := emit(offset, tokens)
		offset += int64(len(tokens))
		return err
	})
}

// Reserve implements System.
func (n *Naive) Reserve(ctx context.Context, key string) error {
	return n.balancer.Call(ctx, pwfakeservice.MethodReserve, key, []byte("{}"))
}

// TakeOut implements System.
func (n *Naive) TakeOut(dc pwrequest.DataCentre) { n.balancer.SetOutOfService(dc, true) }

// BringBack implements System.
func (n *Naive) BringBack(dc pwrequest.DataCentre) { n.balancer.SetOutOfService(dc, false) }

// Engines implements System.
func (n *Naive) Engines(dc pwrequest.DataCentre) []*pwfakeengine.Engine {
	if dc != "" {
		return n.engines[dc]
	}
	return lo.Flatten(lo.Values(n.engines))
}

// LastNewWork implements System.
func (n *Naive) LastNewWork(dc pwrequest.DataCentre) time.Time {
	return lastAttemptStart(n.engines[dc])
}

// Service implements System.
func (n *Naive) Service() *pwfakeservice.Service { return n.service }

// ReservedTokens implements System. The baseline doesn't account for memory.
func (n *Naive) ReservedTokens() int64 { return 0 }

// Close implements System.
func (n *Naive) Close() { n.stop() }

// Current is the design of this repository as a System: its entries and agents,
// connected in memory.
type Current struct {
	org   pwworkload.Organisation
	fleet *pwfakefleet.Fleet
}

// NewCurrent starts the current design with warm engines. A larger tokensPerEmit
// takes less real time, but lets the agents observe fewer decoding steps.
func NewCurrent(ctx context.Context, org pwworkload.Organisation, seed uint64, tokensPerEmit int) (*Current, error) {
	docs, err := pwfakefleet.Documents(org.DataCentres, org.EnginesPerDataCentre[0], org.PlainPerDataCentre, org.Workspaces...)
	if err != nil {
		return nil, err
	}
	return &Current{
		org: org,
		fleet: pwfakefleet.New(ctx, pwfakefleet.Options{
			DataCentres: org.DataCentres,
			EnginesByCentre: lo.SliceToMap(lo.Range(len(org.DataCentres)), func(i int) (pwrequest.DataCentre, int) {
				return org.DataCentres[i], org.EnginesPerDataCentre[i]
			}),
			PlainServersPerCentre: org.PlainPerDataCentre,
			Documents:             docs,
			InterCentreLatency:    org.CrossDataCentreLatency,
			Engine: pwfakeengine.Options{
				StartWarm:     true,
				TokensPerEmit: tokensPerEmit,
			},
			Seed: seed,
		}),
	}, nil
}

// Fleet returns the fleet, so that tests can inject faults.
func (c *Current) Fleet() *pwfakefleet.Fleet { return c.fleet }

// Submit implements System. It distributes the requests over the entries in turn, as
// the load balancer in front of them does.
func (c *Current) Submit(ctx context.Context, a pwworkload.Arrival, admitted func(), emit func(int64, []string) error) error {
	return c.SubmitAt(ctx, a.Number%c.fleet.EntryCount(), a, admitted, emit)
}

// SubmitAt sends a prompt to entry i.
func (c *Current) SubmitAt(ctx context.Context, i int, a pwworkload.Arrival, admitted func(), emit func(int64, []string) error) error {
	return c.submitWithKey(ctx, i, a, "", 0, admitted, emit)
}

// submitWithKey sends a prompt to entry i with an idempotency key, which may be
// "", and reads its response from a token offset on.
func (c *Current) submitWithKey(ctx context.Context, i int, a pwworkload.Arrival, key string, offset int64, admitted func(), emit func(int64, []string) error) error {
	time.Sleep(c.org.ClientLatency)
	f, err := c.fleet.Entry(i).Submit(ctx, pwentry.Submission{
		Workspace:      a.Workspace,
		Service:        pwfakefleet.ModelService,
		Model:          pwfakefleet.Model,
		Prompt:         a.Prompt,
		PromptTokens:   a.PromptTokens,
		MaxTokens:      a.MaxTokens,
		Deadline:       a.Group.Deadline,
		IdempotencyKey: key,
	})
	if err != nil {
		return err
	}
	admitted()
	reason, err := f.Read(ctx, offset, emit)
	if err == nil && reason != "length" && reason != "stop" {
		err = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal, "response ended with reason %q", reason)
	}
	return err
}

// Reserve implements System.
func (c *Current) Reserve(ctx context.Context, key string) error {
	return c.ReserveAt(ctx, len(key)%c.fleet.EntryCount(), key)
}

// ReserveAt makes one reservation through entry i.
func (c *Current) ReserveAt(ctx context.Context, i int, key string) error {
	_, err := c.fleet.Entry(i).Call(ctx, pwentry.Call{
		Workspace:      c.org.Workspaces[0],
		Service:        pwfakefleet.PlainService,
		Method:         pwfakeservice.MethodReserve,
		Body:           []byte("{}"),
		IdempotencyKey: key,
	})
	return err
}

// TakeOut implements System.
func (c *Current) TakeOut(dc pwrequest.DataCentre) {
	c.fleet.SetOutOfService(dataCentreTarget(dc), true)
}

// BringBack implements System.
func (c *Current) BringBack(dc pwrequest.DataCentre) {
	c.fleet.SetOutOfService(dataCentreTarget(dc), false)
}

// dataCentreTarget returns the target of an operator's mark on a data centre.
func dataCentreTarget(dc pwrequest.DataCentre) pwentry.Target {
	return pwentry.Target{
		Scope: pwrouter.ScopeDataCentre,
		Name:  string(dc),
	}
}

// Engines implements System.
func (c *Current) Engines(dc pwrequest.DataCentre) []*pwfakeengine.Engine {
	engines := c.fleet.Engines()
	var out []*pwfakeengine.Engine
	for _, id := range c.fleet.ServerIDs() {
		if e := engines[id]; e != nil && (dc == "" || c.fleet.DataCentre(id) == dc) {
			out = append(out, e)
		}
	}
	return out
}

// LastNewWork implements System. The reservation of a group member counts as new
// work. The segments that the member runs later don't, because their request is already
// accepted.
func (c *Current) LastNewWork(dc pwrequest.DataCentre) time.Time {
	last := lastAttemptStart(c.Engines(dc))
	for _, id := range c.fleet.ServerIDs() {
		if at := c.fleet.LastMemberReservation(id); c.fleet.DataCentre(id) == dc && at.After(last) {
			last = at
		}
	}
	return last
}

// lastAttemptStart returns when an attempt was last started on one of the engines.
func lastAttemptStart(engines []*pwfakeengine.Engine) time.Time {
	var last time.Time
	for _, e := range engines {
		if at := e.Stats().LastAttemptStart; at.After(last) {
			last = at
		}
	}
	return last
}

// Service implements System.
func (c *Current) Service() *pwfakeservice.Service { return c.fleet.Service }

// ReservedTokens implements System.
func (c *Current) ReservedTokens() int64 { return c.fleet.ReservedTokens() }

// Close implements System.
func (c *Current) Close() { c.fleet.Close() }
