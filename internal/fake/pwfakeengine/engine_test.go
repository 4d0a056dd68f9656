package pwfakeengine

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// withEngine runs f with a new engine inside a testing/synctest bubble.
func withEngine(t *testing.T, opts Options, f func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(t, New(ctx, opts))
	})
}

// generate runs one attempt and returns the text that it emitted.
func generate(t *testing.T, e *Engine, g pwengine.Generation) (string, error) {
	t.Helper()
	var text strings.Builder
	_, err := e.Generate(t.Context(), g, func(tokens []string) error {
		for _, token := range tokens {
			text.WriteString(token)
		}
		return nil
	})
	return text.String(), err
}

func generationOf(text string, promptTokens, maxTokens int64) pwengine.Generation {
	return pwengine.Generation{
		Prompt:       text,
		PromptTokens: promptTokens,
		MaxTokens:    maxTokens,
	}
}

// responseText returns the expected text of a response between two offsets.
func responseText(prompt string, from, to int64) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// Guards against gaps, repetitions and tokens of other requests in the responses of
// concurrent and of resumed attempts.
func TestResponseIsDeterministic(t *testing.T) {
	withEngine(t, Options{StartWarm: true}, func(t *testing.T, e *Engine) {
		var g errgroup.Group
		for _, prompt := range []string{"a", "b", "c"} {
			g.Go(func() error {
				text, err := generate(t, e, pwengine.Generation{
					Prompt:       prompt,
					PromptTokens: 3000,
					MaxTokens:    40,
					GivenTokens:  []string{Token(prompt, 0), Token(prompt, 1)},
				})
				if want := responseText(prompt, 2, 40); text != want {
					t.Errorf("response to %q is %q, want %q", prompt, text, want)
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		if n := e.Stats().WrongGivenTokens; n != 0 {
			t.Errorf("%d attempts had wrong given tokens", n)
		}
		if used, running := e.Usage(); used != 0 || running != 0 {
			t.Errorf("engine still holds %d tokens for %d attempts", used, running)
		}
	})
}

// Guards against a fake that can exceed its memory, which would hide a missing bound in
// the system under test.
func TestOvercommittedEngineCrashes(t *testing.T) {
	withEngine(t, Options{StartWarm: true, MemoryTokens: 10_000}, func(t *testing.T, e *Engine) {
		if _, err := generate(t, e, generationOf("a", 11_000, 1)); pwverdict.VerdictOf(err) != pwverdict.NotRun {
			t.Errorf("error of an attempt larger than the engine's memory is %v, want not_run", err)
		}
		var g errgroup.Group
		for _, text := range []string{"a", "b"} {
			g.Go(func() error {
				if _, err := generate(t, e, generationOf(text, 6_000, 100)); pwverdict.CauseOf(err) != pwverdict.CauseEngineFailed {
					t.Errorf("error is %v, want engine_failed", err)
				}
				return nil
			})
		}
		_ = g.Wait()
		if s := e.Stats(); s.OvercommitCrashes != 1 || s.Crashes != 1 {
			t.Errorf("statistics are %+v, want one crash because of exceeded memory", s)
		}
		time.Sleep(DefaultRestartTime)
		synctest.Wait()
		if !e.IsUp() || e.IsWarm() {
			t.Error("engine is not up and cold after its restart time")
		}
	})
}

// Guards against a cold engine that works under full load, which would hide a missing
// warm-up in the system under test.
func TestColdEngineCrashesUnderFullLoad(t *testing.T) {
	for _, test := range []struct {
		name     string
		opts     Options
		attempts int
		crashes  int64
	}{
		{"cold full", Options{}, 16, 1},
		{"cold small", Options{}, DefaultColdMaxAttempts, 0},
		{"warm full", Options{StartWarm: true}, 64, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, test.opts, func(t *testing.T, e *Engine) {
				var g errgroup.Group
				for range test.attempts {
					g.Go(func() error {
						_, _ = generate(t, e, generationOf("a", 1000, 8))
						return nil
					})
				}
				_ = g.Wait()
				if got := e.Stats().ColdStartCrashes; got != test.crashes {
					t.Errorf("engine crashed %d times while cold, want %d", got, test.crashes)
				}
			})
		})
	}
}

// Guards against an engine that is faster or slower than its configured rates, on which
// all measured latencies depend.
func TestFirstTokenTimeFollowsRates(t *testing.T) {
	for _, test := range []struct {
		name     string
		opts     Options
		prompt   int64
		min, max time.Duration
	}{
		{"1M warm", Options{StartWarm: true, MemoryTokens: 2_000_000}, 1_000_000, 16 * time.Second, 17 * time.Second},
		{"10k warm", Options{StartWarm: true}, 10_000, 160 * time.Millisecond, 170 * time.Millisecond},
		{"10k cold", Options{}, 10_000, 500 * time.Millisecond, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, test.opts, func(t *testing.T, e *Engine) {
				began := time.Now()
				if _, err := generate(t, e, generationOf("a", test.prompt, 1)); err != nil {
					t.Fatal(err)
				}
				if d := time.Since(began); d < test.min || d > test.max {
					t.Errorf("first token after %v, want between %v and %v", d, test.min, test.max)
				}
			})
		})
	}
}

// Guards against a complete stream without its tokens, finish reason or end marker, which
// a client could not distinguish from a broken one.
func TestHandlerStreamsCompleteResponse(t *testing.T) {
	e := New(t.Context(), Options{StartWarm: true})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	resp, err := server.Client().Post(server.URL+pwengine.PathCompletions, "application/json",
		strings.NewReader(`{"prompt":"a","prompt_tokens":100,"max_tokens":3,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var body strings.Builder
	buf := make([]byte, 1024)
	for {
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	for _, want := range []string{Token("a", 0), Token("a", 2), `"finish_reason":"length"`, "data: " + pwengine.StreamEnd + "\n\n"} {
		if !strings.Contains(body.String(), want) {
			t.Errorf("stream does not contain %q:\n%s", want, body.String())
		}
	}
}

// Guards against injected faults without effect, with which tests of failures would pass
// without testing anything.
func TestFaultsTakeEffect(t *testing.T) {
	long := generationOf("a", 30_000, 20)
	for _, test := range []struct {
		name  string
		fault func(e *Engine)
		cause pwverdict.Cause // "" means that the attempt completes
		min   time.Duration
	}{
		{"none", func(*Engine) {}, "", 900 * time.Millisecond},
		{"crash", (*Engine).Crash, pwverdict.CauseEngineFailed, 0},
		{"crash by fingerprint", func(e *Engine) { e.SetCrashFingerprint(long.Fingerprint, true) }, pwverdict.CauseEngineFailed, 0},
		{"cold", (*Engine).MakeCold, "", 2 * time.Second},
		{"slow", func(e *Engine) { e.SetSlowdown(3) }, "", 2 * time.Second},
		{"pause", func(e *Engine) {
			e.Pause()
			time.AfterFunc(10*time.Second, e.Resume)
		}, "", 10 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, Options{StartWarm: true}, func(t *testing.T, e *Engine) {
				time.AfterFunc(100*time.Millisecond, func() { test.fault(e) })
				began := time.Now()
				_, err := generate(t, e, long)
				if (err == nil) != (test.cause == "") || err != nil && pwverdict.CauseOf(err) != test.cause {
					t.Errorf("error is %v, want cause %q", err, test.cause)
				}
				if d := time.Since(began); d < test.min {
					t.Errorf("attempt took %v, want at least %v", d, test.min)
				}
				if used, running := e.Usage(); used != 0 || running != 0 {
					t.Errorf("engine still holds %d tokens for %d attempts", used, running)
				}
			})
		})
	}
}

// Guards against an engine that keeps the memory of a cancelled attempt, or that frees
// exported KV cache before it is dropped.
func TestMemoryIsFreedOnCancelAndDrop(t *testing.T) {
	withEngine(t, Options{StartWarm: true}, func(t *testing.T, e *Engine) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if _, err := e.Generate(ctx, generationOf("a", 200_000, 1), func([]string) error { return nil }); err == nil {
			t.Error("cancelled attempt completed without an error")
		}
		handle, err := e.PrefillSegment(t.Context(), pwengine.Segment{
			GroupID:      "g",
			Prompt:       "b",
			PromptTokens: 50_000,
		})
		if used, _ := e.Usage(); err != nil || used != 50_000 {
			t.Errorf("engine holds %d tokens after a segment of 50000 tokens, error %v", used, err)
		}
		if err := e.DropKV(t.Context(), handle); err != nil {
			t.Error(err)
		}
		if used, _ := e.Usage(); used != 0 {
			t.Errorf("engine still holds %d tokens", used)
		}
	})
}

// Guards against load reports and cache events that are fresher or more complete than a
// real engine's, which would hide that the system under test relies on them.
func TestReportsAndEventsLag(t *testing.T) {
	withEngine(t, Options{StartWarm: true, EventLossRate: 0.5}, func(t *testing.T, e *Engine) {
		const prompts = 40
		for i := range prompts {
			if _, err := generate(t, e, generationOf(string(rune('a'+i)), 1000, 1)); err != nil {
				t.Fatal(err)
			}
		}
		if events, _ := e.CacheEvents(t.Context(), 0); len(events) > 0 {
			t.Errorf("%d events are visible before the event lag", len(events))
		}
		time.Sleep(DefaultEventLag)
		events, err := e.CacheEvents(t.Context(), 0)
		if err != nil || len(events) == 0 || len(events) >= prompts {
			t.Errorf("%d of %d events are visible after the event lag, want some but not all; error %v", len(events), prompts, err)
		}
		go func() { _, _ = generate(t, e, generationOf("z", 100_000, 1)) }()
		synctest.Wait()
		if load, _ := e.Load(t.Context()); load.Running != 0 {
			t.Error("load report shows a running attempt before the report lag")
		}
		time.Sleep(DefaultReportLag)
		if load, _ := e.Load(t.Context()); load.Running != 1 {
			t.Errorf("load report after the lag is %+v, want one running attempt", load)
		}
	})
}

// Guards against an engine with fencing that accepts a stale order, and against one
// without fencing that rejects an order.
func TestOrdersAndFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		withEngine(t, Options{StartWarm: true, Fencing: fencing}, func(t *testing.T, e *Engine) {
			for _, fence := range []uint64{2, 1} {
				err := e.Order(t.Context(), pwengine.Order{
					Fence: fence,
					Kind:  pwengine.OrderSetRole,
					Role:  "decode",
				})
				if stale := pwverdict.CauseOf(err) == pwverdict.CauseStaleFence; stale != (fencing && fence == 1) {
					t.Errorf("order with token %d on an engine with fencing %t: %v", fence, fencing, err)
				}
			}
		})
	}
}
