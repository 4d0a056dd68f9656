package pwholding

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Load pattern: callers of several workspaces come, hold memory and leave in any order. No
// bound may be exceeded, and nothing may be left when all have gone.
func TestBoundsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			TotalBytes:     rapid.Int64Range(1, 1000).Draw(t, "total"),
			CallerBytes:    rapid.Int64Range(0, 600).Draw(t, "caller"),
			WorkspaceBytes: rapid.Int64Range(0, 800).Draw(t, "workspace"),
		}
		l := New(cfg)
		var holders []*Holder
		want := make(map[*Holder]int64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(holders) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				holders = append(holders, l.Open(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "name")))
			}
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			class := rapid.SampledFrom(Classes()).Draw(t, "class")
			n := rapid.Int64Range(-5, 500).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				h.Close()
				delete(want, h)
			case 1:
				had := min(max(0, n), h.byClass[class])
				h.Release(class, n)
				want[h] -= had
			default:
				var full *FullError
				switch err := h.Acquire(class, n); {
				case err == nil && !h.closed:
					want[h] += max(0, n)
				case err != nil && !errors.As(err, &full):
					t.Fatal(err)
				}
			}
			var total int64
			for h, n := range want {
				total += n
				if cfg.CallerBytes > 0 && n > cfg.CallerBytes || h.account != nil && cfg.WorkspaceBytes > 0 && h.account.held > cfg.WorkspaceBytes {
					t.Fatalf("a caller holds %d bytes, its workspace %+v, allowed are %+v", n, h.account, cfg)
				}
			}
			if total != l.Total() || total > cfg.TotalBytes {
				t.Fatalf("%d bytes are counted, %d are held, allowed are %d", l.Total(), total, cfg.TotalBytes)
			}
		}
		for _, h := range holders {
			h.Close()
		}
		if l.Total() != 0 || l.Workspaces() != 0 {
			t.Fatalf("%d bytes of %d workspaces are left", l.Total(), l.Workspaces())
		}
	})
}

// Load pattern: a workspace fills its part. The others still have room, and the refusal says
// which bound is used up.
func TestFullWorkspaceLeavesRoom(t *testing.T) {
	l := New(Config{
		TotalBytes:     100,
		CallerBytes:    30,
		WorkspaceBytes: 50,
	})
	for i, want := range []Scope{"", "", Workspace} {
		err := l.Open("a").Acquire(Bodies, 25)
		var full *FullError
		if errors.As(err, &full) != (want != "") || full != nil && full.Scope != want {
			t.Errorf("caller %d got %v, want a refusal of scope %q", i, err, want)
		}
	}
	if err := l.Open("b").Acquire(Responses, 25); err != nil {
		t.Errorf("the other workspace got %v", err)
	}
	if l.Held(Bodies) != 50 || l.Held(Responses) != 25 || l.Refusals(Workspace) != 1 {
		t.Errorf("bodies %d, responses %d, refusals %d", l.Held(Bodies), l.Held(Responses), l.Refusals(Workspace))
	}
}

// Load pattern: several processes send long bodies to a server that reads slowly. Those of the
// others are estimated, and a short body still finds room.
func TestServerIsBoundedOverAllProcesses(t *testing.T) {
	const kb = 1 << 10
	s := NewServers(100 * kb)
	for _, step := range []struct {
		bytes  int64
		others int
		want   bool
	}{
		{bytes: 200 * kb, others: 0, want: true}, // larger than the limit, but alone
		{bytes: 30 * kb, others: 0, want: false},
		{bytes: kb, others: 0, want: true},
		{bytes: -201 * kb},
		{bytes: 30 * kb, others: 0, want: true},
		{bytes: 30 * kb, others: 1, want: false}, // one of another process, of about 180 KB
	} {
		if step.bytes < 0 {
			s.Release("desk-1", -step.bytes)
			continue
		}
		if got := s.Acquire("desk-1", "desk", step.bytes, step.others); got != step.want {
			t.Errorf("%d bytes beside %d others: %t, want %t", step.bytes, step.others, got, step.want)
		}
	}
	if n := s.Held("desk-1"); n != 30*kb {
		t.Errorf("%d bytes are held, want %d", n, 30*kb)
	}
}
