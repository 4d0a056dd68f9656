package pwcapacity

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// measureDecisions measures the processor time of single decisions, such as routing
// and admission, at several sizes of their state. It also measures the size and the
// encoding of token events and prompts.
func measureDecisions(_ context.Context, m *meter) error {
	for _, n := range []int{25, 750, 7_500} {
		rt := newRouter(n)
		m.addPoint("cpu.route", "known servers", "us a decision", float64(n), cpuPerOp(func(i int) {
			r := newRequest(i, 1_000)
			if c, err := rt.Pick(epoch, r, pwrouter.PickOptions{}); err == nil {
				rt.RecordStart(c.Server(), r)
				rt.RecordEnd(epoch, c.Server(), r, pwrouter.Completed)
			}
		}))
		m.addPoint("cpu.load_report", "known servers", "us a report", float64(n), cpuPerOp(func(i int) {
			at := epoch.Add(time.Duration(i+1) * time.Millisecond)
			data, err := proto.Marshal(newLoadReport(i%n, at))
			var in pwrpc.LoadReport
			if err == nil && proto.Unmarshal(data, &in) == nil {
				rt.Upsert(at, routerReport(i%n, &in))
			}
		}))
	}
	for _, n := range []int{10, 1_000, 35_000} {
		q := newQueue(n, n)
		m.addPoint("cpu.queue", "active workspaces", "us a push and a pop", float64(n), cpuPerOp(func(i int) {
			_ = q.Push(epoch, newRequest(n+i, n), 1)
			if r, ok := q.Pop(epoch); ok {
				q.RecordCompletion(epoch, r.MemoryTokens())
			}
		}))
	}
	for _, n := range []int{1, 64, 256, 1_024} {
		c := pwadmission.New(admissionConfig(), epoch)
		for i := range n {
			if _, err := c.Admit(epoch, newAttempt(i)); err != nil {
				return fmt.Errorf("cpu.admission: %w", err)
			}
		}
		m.addPoint("cpu.admission", "running attempts", "us an attempt", float64(n), cpuPerOp(func(i int) {
			a := newAttempt(n + i)
			if g, err := c.Admit(epoch, a); err == nil {
				c.MarkStarted(epoch, a.ID)
				c.MarkPrefilled(epoch, a.ID)
				c.Release(epoch, a.ID, g.Fence())
			}
		}))
	}
	for _, n := range []int{1, 4, 16, 64} {
		ev := newTokenEvent(n)
		m.addPoint("bytes.token_event", "tokens in an event", "B an event", float64(n), float64(proto.Size(ev)))
		m.addPoint("cpu.token_event", "tokens in an event", "us an event", float64(n), cpuPerOp(func(int) {
			if data, err := proto.Marshal(ev); err == nil {
				_ = proto.Unmarshal(data, &pwrpc.AnswerEvent{})
			}
		}))
	}
	for _, n := range []int{1_000, 10_000, 100_000} {
		req := &pwrpc.ExecuteRequest{
			Prompt: strings.Repeat("lamp", n),
		}
		m.addPoint("bytes.prompt", "prompt tokens", "B a prompt", float64(n), float64(proto.Size(req)))
		m.addPoint("cpu.prompt", "prompt tokens", "us a prompt", float64(n), cpuPerOp(func(int) {
			if data, err := proto.Marshal(req); err == nil {
				_ = proto.Unmarshal(data, &pwrpc.ExecuteRequest{})
			}
		}))
	}
	return nil
}

func newAttempt(i int) pwadmission.Attempt {
	return pwadmission.Attempt{
		ID:       attemptName(i),
		Request:  newRequest(i, 1_000),
		Owner:    entryName(i % 57),
		Deadline: epoch.Add(time.Hour),
	}
}

func newTokenEvent(n int) *pwrpc.AnswerEvent {
	t := &pwrpc.Tokens{
		Offset: 200,
	}
	for i := range n {
		t.Tokens = append(t.Tokens, fmt.Sprintf("%04d", i))
	}
	return &pwrpc.AnswerEvent{
		RequestId: string(requestName(1)),
		AttemptId: string(attemptName(1)),
		Event: &pwrpc.AnswerEvent_Tokens{
			Tokens: t,
		},
	}
}

// serverIDs returns the identifiers of n backend servers.
func serverIDs(n int) []pwrequest.BackendServerID {
	var out []pwrequest.BackendServerID
	for i := range n {
		out = append(out, pwrequest.BackendServerID(serverName(i)))
	}
	return out
}
