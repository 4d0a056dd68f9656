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

// epoch is the time of all measurements that take the time as an argument.
var epoch = time.Date(2026, time.December, 4, 9, 0, 0, 0, time.UTC)

// Names that stand for those of a deployment, in their usual lengths.
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

func centreName(i int) pwrequest.DataCentre {
	return pwrequest.DataCentre(fmt.Sprintf("hakata-%d", i%8))
}

func requestName(i int) pwrequest.ID {
	return pwrequest.ID(fmt.Sprintf("req-%026d", i))
}

func attemptName(i int) pwrequest.AttemptID {
	return pwrequest.AttemptID(fmt.Sprintf("att-%026d", i))
}

func request(i, workspaces int) *pwrequest.Request {
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

// loadReport is a report as an agent sends it.
func loadReport(i int, at time.Time) *pwrpc.LoadReport {
	return &pwrpc.LoadReport{
		Instance:             "agent-" + serverName(i),
		BackendServer:        serverName(i),
		DataCentre:           string(centreName(i)),
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

// varying is the part of a report that differs from one to the next.
func varying(r *pwrpc.LoadReport) *pwrpc.LoadReport {
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

// routerReport is what an entry makes of a report.
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

func newRouter(servers int) *pwrouter.Router {
	rt := pwrouter.New(pwrouter.Config{}, rand.New(rand.NewPCG(1, 2)))
	for i := range servers {
		rt.Upsert(epoch, routerReport(i, loadReport(i, epoch)))
	}
	_, _ = rt.Pick(epoch, request(0, 1), pwrouter.PickOptions{}) // builds the index
	return rt
}

// mark is a change that takes a backend server out of service.
func mark(i int) pwchange.Change {
	return pwchange.Change{
		Sequence:       uint64(i + 1),
		Key:            pwchange.MarkKey(pwchange.TargetBackendServer, serverName(i)),
		Value:          fmt.Appendf(nil, `{"out":true,"reason":"returned at night","author":{"name":"aiko","team":"lantern-models"},"at_unix_ms":%d}`, epoch.UnixMilli()),
		AcceptedUnixMS: epoch.UnixMilli(),
	}
}

func record(i int) *pwrpc.RequestRecord {
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

// crash builds the count of one attempt beside others that died with it.
func crash(t *pwquarantine.Tracker, i, besides int) {
	prints := make([]uint64, 0, besides)
	for j := range besides {
		prints = append(prints, rand.Uint64()|1<<63+uint64(j))
	}
	t.RecordCrash(epoch, rand.Uint64(), attemptName(i), prints)
}

// measureState measures the bytes of the state that one item adds.
func measureState(_ context.Context, m *meter) error {
	few, many := []int{500, 1_000, 2_000}, []int{2_000, 8_000, 16_000, 32_000}
	for _, n := range m.sizes(few, many) {
		x := float64(n)
		m.add("memory.server_report", "known servers", "B", x, held(func() any { return newRouter(n) }))
		m.add("memory.queued_request", "requests of one workspace", "B", x, held(func() any { return newQueue(n, 1) }))
		m.add("memory.queue_workspace", "workspaces with one queued request", "B", x, held(func() any { return newQueue(n, n) }))
		m.add("memory.running_in_router", "own attempts", "B", x, held(func() any {
			rt := newRouter(subset)
			for i := range n {
				rt.RecordStart(pwrequest.BackendServerID(serverName(i%subset)), request(i, 1_000))
			}
			return rt
		}))
		m.add("memory.prefix", "known prefixes", "B", x, held(func() any {
			rt := newRouter(subset)
			for i := range n {
				rt.RecordCacheEvent(epoch, pwrequest.BackendServerID(serverName(i%subset)), uint64(i/subset+1), []uint64{uint64(i + 1)}, nil)
			}
			return rt
		}))
		m.add("memory.request_record", "records", "B", x, held(func() any {
			s := pwdirectory.NewStore(pwdirectory.Config{})
			for i := range n {
				_ = s.Put(record(i))
			}
			return s
		}))
	}
	for _, n := range m.sizes([]int{100, 200, 400}, []int{500, 1_000, 2_000, 4_000}) {
		m.add("memory.crash_count", "crashes with 253 others beside them", "B", float64(n), held(func() any {
			t := pwquarantine.New(pwquarantine.Config{})
			for i := range n {
				crash(t, i, 253)
			}
			return t
		}))
	}
	for _, n := range m.sizes([]int{100, 500, 1_000}, []int{100, 1_000, 8_000, 16_000}) {
		m.add("memory.known_key", "marks in the copy", "B", float64(n), held(func() any {
			r := pwchange.NewReplica()
			for i := range n {
				r.Merge([]pwchange.Change{mark(i)})
			}
			return r
		}))
	}
	for _, besides := range []int{0, 10, 64, 253} {
		req := &pwrpc.ExchangeRequest{}
		for i := range maxCrashCounts {
			c := &pwrpc.CrashCount{
				Fingerprint: rand.Uint64(),
				Crashes: []*pwrpc.Crash{{
					Attempt:  string(attemptName(i)),
					AtUnixMs: epoch.UnixMilli(),
				}},
			}
			for range besides {
				c.Crashes[0].Besides = append(c.Crashes[0].Besides, rand.Uint64())
			}
			req.Crashes = append(req.Crashes, c)
		}
		m.add("bytes.crash_counts", "others beside each of 64 crashes", "B a message", float64(besides), float64(proto.Size(req)))
	}
	return nil
}

func newQueue(n, workspaces int) *pwqueue.Queue {
	q := pwqueue.New(pwqueue.Config{
		WorkspaceRequests: n,
		WorkspaceTokens:   1 << 50,
		TotalRequests:     4 * n,
		TotalTokens:       1 << 50,
	})
	for i := range n {
		_ = q.Push(epoch, request(i, workspaces), 1)
	}
	return q
}
