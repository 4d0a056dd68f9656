package pwcapacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwqueue"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
)

// epoch is the current time that the measurements pass to functions with a time argument.
var epoch = time.Date(2026, time.December, 4, 9, 0, 0, 0, time.UTC)

// Names in the usual lengths of a deployment, so that the measured sizes are realistic.
const (
	serviceName = pwrequest.ServiceID("lantern-short")
	modelName   = pwrequest.ModelID("lantern-design-70b")
)

func workspaceName(i int) pwrequest.WorkspaceID {
	return pwrequest.WorkspaceID(fmt.Sprintf("workspace-%05d", i))
}

func serverName(i int) string { return fmt.Sprintf("lantern-hakata-%05d", i) }

func entryName(i int) pwrequest.InstanceID {
	return pwrequest.InstanceID(fmt.Sprintf("entry-hakata-%04d", i))
}

func dataCentreName(i int) pwrequest.DataCentre {
	return pwrequest.DataCentre(fmt.Sprintf("hakata-%d", i%8))
}

func requestName(i int) pwrequest.ID {
	return pwrequest.ID(fmt.Sprintf("req-%026d", i))
}

func attemptName(i int) pwrequest.AttemptID {
	return pwrequest.AttemptID(fmt.Sprintf("att-%026d", i))
}

func newRequest(i, workspaces int) *pwrequest.Request {
	return pwrequest.New(pwrequest.Params{
		ID:           requestName(i),
		Workspace:    workspaceName(i % workspaces),
		Service:      serviceName,
		Model:        modelName,
		PromptTokens: 2_000,
		MaxTokens:    300,
		AdmittedAt:   epoch,
		Deadline:     epoch.Add(time.Hour),
		Fingerprint:  uint64(i + 1),
	})
}

// newLoadReport returns a load report as an agent sends it.
func newLoadReport(i int, at time.Time) *pwrpc.LoadReport {
	return &pwrpc.LoadReport{
		Instance:             "agent-" + serverName(i),
		BackendServer:        serverName(i),
		DataCentre:           string(dataCentreName(i)),
		Service:              string(serviceName),
		Models:               []string{string(modelName)},
		InService:            true,
		Running:              int32(100 + i%100),
		RunningBound:         4096,
		ReservedTokens:       int64(1_000_000 + i),
		MemoryTokens:         100_000_000,
		PendingPrefillTokens: []int64{5_000, 10_000, 30_000},
		RunningLong:          1,
		SentUnixMs:           at.UnixMilli(),
		Incarnation:          uint64(at.UnixMilli()),
	}
}

// varyingReport returns a copy of r with only the fields that change between reports.
func varyingReport(r *pwrpc.LoadReport) *pwrpc.LoadReport {
	return &pwrpc.LoadReport{
		InService:            r.InService,
		Running:              r.Running,
		ReservedTokens:       r.ReservedTokens,
		PendingPrefillTokens: r.PendingPrefillTokens,
		RunningLong:          r.RunningLong,
		LongPrefill:          r.LongPrefill,
		SentUnixMs:           r.SentUnixMs,
	}
}

// routerReport converts a load report for the router, as an entry does.
func routerReport(i int, r *pwrpc.LoadReport) pwrouter.Report {
	rep := pwrouter.Report{
		BackendServer:  pwrequest.BackendServerID(r.BackendServer),
		Instance:       pwrequest.InstanceID(r.Instance),
		Address:        fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250),
		DataCentre:     pwrequest.DataCentre(r.DataCentre),
		Service:        pwrequest.ServiceID(r.Service),
		Role:           r.Role,
		InService:      r.InService,
		Running:        int(r.Running),
		RunningBound:   int(r.RunningBound),
		ReservedTokens: r.ReservedTokens,
		MemoryTokens:   r.MemoryTokens,
		RunningLong:    int(r.RunningLong),
		LongPrefill:    r.LongPrefill,
		SentAt:         time.UnixMilli(r.SentUnixMs),
		Incarnation:    r.Incarnation,
	}
	copy(rep.PendingPrefillTokens[:], r.PendingPrefillTokens)
	for _, m := range r.Models {
		rep.Models = append(rep.Models, pwrequest.ModelID(m))
	}
	return rep
}

// newRouter returns a router with that many servers and a built index.
func newRouter(servers int) *pwrouter.Router {
	rt := pwrouter.New(pwrouter.Config{}, rand.New(rand.NewPCG(1, 2)))
	for i := range servers {
		rt.Upsert(epoch, routerReport(i, newLoadReport(i, epoch)))
	}
	_, _ = rt.Pick(epoch, newRequest(0, 1), pwrouter.PickOptions{}) // builds the index
	return rt
}

// newMarkChange returns a change that takes a backend server out of service.
func newMarkChange(i int) pwchange.Change {
	return pwchange.Change{
		Sequence:       uint64(i + 1),
		Key:            pwchange.MarkKey(pwchange.TargetBackendServer, serverName(i)),
		Value:          fmt.Appendf(nil, `{"out":true,"reason":"returned at night","author":{"name":"aiko","team":"lantern-models"},"at_unix_ms":%d}`, epoch.UnixMilli()),
		AcceptedUnixMS: epoch.UnixMilli(),
	}
}

func newRecord(i int) *pwrpc.RequestRecord {
	return &pwrpc.RequestRecord{
		RequestId:     string(requestName(i)),
		Workspace:     string(workspaceName(i % 35_000)),
		AttemptId:     string(attemptName(i)),
		AttemptNumber: 1,
		AgentAddress:  fmt.Sprintf("10.20.%d.%d:7400", i/250%250, i%250),
		State:         "running",
		ExpiresUnixMs: time.Now().Add(time.Hour).UnixMilli(),
		Entry:         string(entryName(i % 640)),
		Service:       string(serviceName),
		Model:         string(modelName),

		AdmittedUnixMs: epoch.UnixMilli(),
	}
}

// recordCrash records a crash of an attempt and of neighbours that ran on the same server.
// All fingerprints are random.
func recordCrash(t *pwquarantine.Tracker, i, neighbourCount int) {
	fingerprints := make([]uint64, 0, neighbourCount)
	for j := range neighbourCount {
		fingerprints = append(fingerprints, rand.Uint64()|1<<63+uint64(j))
	}
	t.RecordCrash(epoch, rand.Uint64(), attemptName(i), fingerprints)
}

// measureState measures the memory that one more item of each kind of state needs.
func measureState(_ context.Context, m *meter) error {
	few, many := []int{500, 1_000, 2_000}, []int{2_000, 8_000, 16_000, 32_000}
	for _, n := range m.sizes(few, many) {
		x := float64(n)
		m.addPoint("memory.server_report", "known servers", "B", x, retainedBytes(func() any { return newRouter(n) }))
		m.addPoint("memory.queued_request", "requests of one workspace", "B", x, retainedBytes(func() any { return newQueue(n, 1) }))
		m.addPoint("memory.queue_workspace", "workspaces with one queued request", "B", x, retainedBytes(func() any { return newQueue(n, n) }))
		m.addPoint("memory.running_in_router", "own attempts", "B", x, retainedBytes(func() any {
			rt := newRouter(subsetSize)
			for i := range n {
				rt.RecordStart(pwrequest.BackendServerID(serverName(i%subsetSize)), newRequest(i, 1_000))
			}
			return rt
		}))
		m.addPoint("memory.prefix", "known prefixes", "B", x, retainedBytes(func() any {
			rt := newRouter(subsetSize)
			for i := range n {
				rt.RecordCacheEvent(epoch, pwrequest.BackendServerID(serverName(i%subsetSize)), uint64(i/subsetSize+1), []uint64{uint64(i + 1)}, nil)
			}
			return rt
		}))
		m.addPoint("memory.request_record", "records", "B", x, retainedBytes(func() any {
			s := pwdirectory.NewStore(pwdirectory.Config{})
			for i := range n {
				_ = s.Put(newRecord(i))
			}
			return s
		}))
	}
	for _, n := range m.sizes([]int{100, 200, 400}, []int{500, 1_000, 2_000, 4_000}) {
		m.addPoint("memory.crash_count", "crashes with 253 others beside them", "B", float64(n), retainedBytes(func() any {
			t := pwquarantine.New(pwquarantine.Config{})
			for i := range n {
				recordCrash(t, i, 253)
			}
			return t
		}))
	}
	for _, n := range m.sizes([]int{100, 500, 1_000}, []int{100, 1_000, 8_000, 16_000}) {
		m.addPoint("memory.known_key", "marks in the copy", "B", float64(n), retainedBytes(func() any {
			r := pwchange.NewReplica()
			for i := range n {
				r.Merge([]pwchange.Change{newMarkChange(i)})
			}
			return r
		}))
	}
	for _, neighbourCount := range []int{0, 10, 64, 253} {
		req := &pwrpc.ExchangeRequest{}
		for i := range maxCrashCounts {
			c := &pwrpc.CrashCount{
				Fingerprint: rand.Uint64(),
				Crashes: []*pwrpc.Crash{{
					Attempt:  string(attemptName(i)),
					AtUnixMs: epoch.UnixMilli(),
				}},
			}
			for range neighbourCount {
				c.Crashes[0].Besides = append(c.Crashes[0].Besides, rand.Uint64())
			}
			req.Crashes = append(req.Crashes, c)
		}
		m.addPoint("bytes.crash_counts", "others beside each of 64 crashes", "B a message", float64(neighbourCount), float64(proto.Size(req)))
	}
	return nil
}

// newQueue returns a queue with n requests, spread over that many workspaces.
func newQueue(n, workspaces int) *pwqueue.Queue {
	q := pwqueue.New(pwqueue.Config{
		WorkspaceRequests: n,
		WorkspaceTokens:   1 << 50,
		TotalRequests:     4 * n,
		TotalTokens:       1 << 50,
	})
	for i := range n {
		_ = q.Push(epoch, newRequest(i, workspaces), 1)
	}
	return q
}
