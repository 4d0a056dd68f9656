package pwcapacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// waitStep is the polling interval of await, and waitLimit is its timeout.
const (
	waitStep  = time.Millisecond
	waitLimit = 20 * time.Second
)

var errNotReached = errors.New("the measured component did not reach the expected state in time")

// await polls reached until it returns true. It fails when ctx ends or waitLimit has
// passed.
func await(ctx context.Context, reached func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for !reached() {
		select {
		case <-time.After(waitStep):
		case <-ctx.Done():
			return errNotReached
		}
	}
	return nil
}

func newObserver() *pwobserve.Observer { return pwobserve.New(io.Discard, "measured", "hakata") }

// agentInstances returns a list of n agents whose addresses the function address returns.
func agentInstances(n int, address func(i int) string) []pwinstance.Instance {
	var list []pwinstance.Instance
	for i := range n {
		list = append(list, pwinstance.Instance{
			ID:            pwrequest.InstanceID("agent-" + serverName(i)),
			DataCentre:    dataCentreName(i),
			Address:       address(i),
			Role:          pwinstance.RoleAgent,
			Service:       serviceName,
			BackendServer: pwrequest.BackendServerID(serverName(i)),
		})
	}
	return list
}

// memoryAgents dials agents in memory that accept every attempt. With holdAttempts an
// attempt runs until its entry stops.
type memoryAgents struct {
	holdAttempts bool
	startedCount atomic.Int64
}

// Agent implements pwentry.Dialer.
func (d *memoryAgents) Agent(address string) pwentry.AgentClient {
	i := 0
	_, _ = fmt.Sscan(address, &i)
	return &memoryAgent{
		dialer: d,
		index:  i,
	}
}

// memoryAgent implements the methods of an agent that a prompt needs.
type memoryAgent struct {
	pwentry.AgentClient
	dialer *memoryAgents
	index  int
}

// WatchLoad implements pwentry.AgentClient.
func (a *memoryAgent) WatchLoad(ctx context.Context, _ *pwrpc.WatchLoadRequest, recv func(*pwrpc.LoadReport) error) error {
	for ctx.Err() == nil {
		r := newLoadReport(a.index, time.Now())
		r.RunningBound, r.Running, r.RunningLong, r.MemoryTokens = 1<<20, 0, 0, 0
		r.PendingPrefillTokens = nil
		if err := recv(r); err != nil {
			return err
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// Execute implements pwentry.AgentClient.
func (a *memoryAgent) Execute(ctx context.Context, req *pwrpc.ExecuteRequest, recv func(*pwrpc.AnswerEvent) error) error {
	a.dialer.startedCount.Add(1)
	err := recv(&pwrpc.AnswerEvent{
		RequestId: req.RequestId,
		AttemptId: req.AttemptId,
		Event: &pwrpc.AnswerEvent_Accepted{
			Accepted: &pwrpc.Accepted{
				BackendServer: serverName(a.index),
				Fence:         1,
			},
		},
	})
	if err != nil {
		return err
	}
	// An entry holds further requests back while prompts are in prefill, and the first
	// token ends the prefill.
	first := newTokenEvent(1)
	first.RequestId, first.AttemptId = req.RequestId, req.AttemptId
	first.GetTokens().Offset = 0
	if err := recv(first); err != nil {
		return err
	}
	if a.dialer.holdAttempts {
		<-ctx.Done()
		return ctx.Err()
	}
	return recv(&pwrpc.AnswerEvent{
		RequestId: req.RequestId,
		AttemptId: req.AttemptId,
		Event: &pwrpc.AnswerEvent_Ended{
			Ended: &pwrpc.Ended{
				Reason:      "stop",
				TotalTokens: int64(len(first.GetTokens().Tokens)),
			},
		},
	})
}

// Cancel implements pwentry.AgentClient.
func (a *memoryAgent) Cancel(context.Context, *pwrpc.CancelRequest) (*pwrpc.CancelResponse, error) {
	return &pwrpc.CancelResponse{}, nil
}

// Sizes of the measured entry.
const (
	entryWorkspaceCount = 100
	entryAgentCount     = 8
)

// startEntry starts an entry with that many agents in memory as its backend servers, and
// waits until all of them have reported. The function stop ends the entry.
func startEntry(ctx context.Context, d *memoryAgents, servers int) (e *pwentry.Entry, stop func(), err error) {
	doc, err := newDocument(entryWorkspaceCount)
	if err != nil {
		return nil, nil, err
	}
	e = pwentry.New(pwentry.Config{
		Instance:   entryName(0),
		DataCentre: dataCentreName(0),
		Seed:       1,
	}, pwentry.Deps{
		Agents:   d,
		Observer: newObserver(),
	})
	e.SetDocument(doc)
	e.SetInstances(agentInstances(servers, func(i int) string { return fmt.Sprint(i) }))
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	return e, stop, await(ctx, func() bool { return e.ReportingServerCount() == servers })
}

// submitRequests submits n requests. It retries a refused request until the entry
// admits it.
func submitRequests(ctx context.Context, e *pwentry.Entry, n int) error {
	for i := range n {
		err := await(ctx, func() bool {
			_, err := e.Submit(ctx, pwentry.Submission{
				Workspace: workspaceName(i % entryWorkspaceCount),
				Service:   serviceName,
				Model:     modelName,
				Prompt:    fmt.Sprintf("Repaint notes for lantern %d", i),
			})
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureEntry measures the memory and the processor time of a request in a complete
// entry. The HTTP requests of callers, the prompts and the tokens are not included.
func measureEntry(ctx context.Context, m *meter) error {
	goroutines := runtime.NumGoroutine()
	for _, n := range m.sizes([]int{100, 200, 400}, []int{500, 2_000, 4_000, 8_000}) {
		for _, c := range []struct {
			term    string
			servers int
		}{
			{"memory.entry_queued", 0},
			{"memory.entry_running", entryAgentCount},
		} {
			d := &memoryAgents{
				holdAttempts: true,
			}
			e, stop, err := startEntry(ctx, d, c.servers)
			if err != nil {
				return err
			}
			before := liveBytes()
			if err = submitRequests(ctx, e, n); err == nil && c.servers > 0 {
				err = await(ctx, func() bool { return d.startedCount.Load() == int64(n) })
			}
			after := liveBytes()
			stop()
			if err == nil {
				err = awaitGoroutines(ctx, goroutines)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", c.term, err)
			}
			m.addPoint(c.term, "requests", "B", float64(n), after-before)
		}
		e, stop, err := startEntry(ctx, &memoryAgents{}, entryAgentCount)
		if err != nil {
			return err
		}
		start := processorTime()
		err = submitRequests(ctx, e, n)
		if err == nil {
			err = e.Shutdown(ctx) // waits until all requests have ended
		}
		used := processorTime() - start
		stop()
		if err == nil {
			err = awaitGoroutines(ctx, goroutines)
		}
		if err != nil {
			return fmt.Errorf("entry.request: %w", err)
		}
		retained := liveBytes()
		runtime.KeepAlive(e)
		m.addPoint("memory.entry_ended", "requests", "B", float64(n), retained-liveBytes())
		m.addPoint("cpu.entry_request", "requests", "us", float64(n), float64(used.Microseconds()))
	}
	return nil
}

// memoryEngine is an engine that generates an answer of a fixed number of tokens. With
// holdAttempts a generation does not end before its context does.
type memoryEngine struct {
	pwagent.Engine
	tokens       int
	holdAttempts bool
	startedCount atomic.Int64
}

// Generate implements pwagent.Engine.
func (g *memoryEngine) Generate(ctx context.Context, _ pwengine.Generation, emit func([]string) error) (pwengine.Finish, error) {
	for i := range g.tokens {
		if err := emit([]string{fmt.Sprintf("%04d", i%10_000)}); err != nil {
			return pwengine.Finish{}, err
		}
	}
	g.startedCount.Add(1)
	if g.holdAttempts {
		<-ctx.Done()
		return pwengine.Finish{}, ctx.Err()
	}
	return pwengine.Finish{
		Reason: "stop",
	}, nil
}

// Load implements pwagent.Engine.
func (g *memoryEngine) Load(context.Context) (pwengine.EngineLoad, error) {
	return pwengine.EngineLoad{}, nil
}

// Reset implements pwagent.Engine.
func (g *memoryEngine) Reset(context.Context) error { return nil }

func admissionConfig() pwadmission.Config {
	return pwadmission.Config{
		MemoryTokens: 1 << 40,
		FullBound:    4096,
		StartBound:   4096,
	}
}

// runAttempts runs n attempts on an agent with the engine g and returns the bytes that
// they keep in use.
func runAttempts(ctx context.Context, g *memoryEngine, n int) (float64, error) {
	a := pwagent.New(pwagent.Config{
		Instance:      pwrequest.InstanceID("agent-" + serverName(0)),
		BackendServer: pwrequest.BackendServerID(serverName(0)),
		Service:       serviceName,
		Models:        []pwrequest.ModelID{modelName},
	}, pwagent.Deps{
		Admission: pwadmission.New(admissionConfig(), time.Now()),
		Engine:    g,
		Observer:  newObserver(),
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.Run(ctx)
	before := liveBytes()
	for i := range n {
		req := &pwrpc.ExecuteRequest{
			RequestId:      string(requestName(i)),
			AttemptId:      string(attemptName(i)),
			Workspace:      string(workspaceName(i)),
			Service:        string(serviceName),
			Model:          string(modelName),
			PromptTokens:   2_000,
			MaxTokens:      300,
			Owner:          string(entryName(i % 57)),
			DeadlineUnixMs: time.Now().Add(time.Hour).UnixMilli(),
		}
		go (&execution{
			agent:   a,
			request: req,
		}).run(ctx)
	}
	err := await(ctx, func() bool {
		a.RecordHeartbeat("entry")
		return g.startedCount.Load() == int64(n)
	})
	return liveBytes() - before, err
}

// execution is one Execute call of an agent whose events are discarded.
type execution struct {
	agent   *pwagent.Agent
	request *pwrpc.ExecuteRequest
}

func (x *execution) run(ctx context.Context) {
	_ = x.agent.Execute(ctx, x.request, func(*pwrpc.AnswerEvent) error { return nil })
}

// measureAgent measures the memory of a running attempt and of a token of a retained
// answer.
func measureAgent(ctx context.Context, m *meter) error {
	goroutines := runtime.NumGoroutine()
	for _, n := range m.sizes([]int{50, 100, 200}, []int{64, 256, 512, 1_024}) {
		b, err := runAttempts(ctx, &memoryEngine{
			holdAttempts: true,
		}, n)
		if err != nil {
			return fmt.Errorf("memory.agent_running: %w", err)
		}
		m.addPoint("memory.agent_running", "attempts", "B", float64(n), b)
		if err := awaitGoroutines(ctx, goroutines); err != nil {
			return err
		}
	}
	for _, n := range m.sizes([]int{500, 1_000, 2_000}, []int{5_000, 10_000, 20_000, 40_000}) {
		b, err := runAttempts(ctx, &memoryEngine{
			tokens: n,
		}, 10)
		if err != nil {
			return fmt.Errorf("memory.kept_token: %w", err)
		}
		m.addPoint("memory.kept_token", "tokens of ended answers", "B", 10*float64(n), b)
		if err := awaitGoroutines(ctx, goroutines); err != nil {
			return err
		}
	}
	return nil
}
