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

// inBubble runs f with an engine on the test clock.
func inBubble(t *testing.T, opts Options, f func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(t, New(ctx, opts))
	})
}

// generate runs one attempt and returns its text.
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

func prompt(text string, promptTokens, maxTokens int64) pwengine.Generation {
	return pwengine.Generation{
		Prompt:       text,
		PromptTokens: promptTokens,
		MaxTokens:    maxTokens,
	}
}

func textOf(prompt string, from, to int64) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// Guards against a response that has a gap, a repetition or another request's
// tokens, in concurrent and in resumed attempts.
func TestResponseIsDeterministic(t *testing.T) {
	inBubble(t, Options{StartWarm: true}, func(t *testing.T, e *Engine) {
		var g errgroup.Group
		for _, prompt := range []string{"a", "b", "c"} {
			g.Go(func() error {
				text, err := generate(t, e, pwengine.Generation{
					Prompt:       prompt,
					PromptTokens: 3000,
					MaxTokens:    40,
					GivenTokens:  []string{Token(prompt, 0), Token(prompt, 1)},
				})
				if want := textOf(prompt, 2, 40); text != want {
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

// Guards against an engine that takes more than its memory without harm, which
// would hide a missing bound in the system.
func TestOvercommittedEngineCrashes(t *testing.T) {
	inBubble(t, Options{StartWarm: true, MemoryTokens: 10_000}, func(t *testing.T, e *Engine) {
		if _, err := generate(t, e, prompt("a", 11_000, 1)); pwverdict.VerdictOf(err) != pwverdict.NotRun {
			t.Errorf("error of an attempt larger than the engine is %v, want not_run", err)
		}
		var g errgroup.Group
		for _, text := range []string{"a", "b"} {
			g.Go(func() error {
				if _, err := generate(t, e, prompt(text, 6_000, 100)); pwverdict.CauseOf(err) != pwverdict.CauseEngineFailed {
					t.Errorf("error is %v, want engine_failed", err)
				}
				return nil
			})
		}
		_ = g.Wait()
		if s := e.Stats(); s.OvercommitCrashes != 1 || s.Crashes != 1 {
			t.Errorf("statistics are %+v, want one crash", s)
		}
		time.Sleep(DefaultRestartTime)
		synctest.Wait()
		if !e.IsUp() || e.IsWarm() {
			t.Error("engine is not up and cold after its restart time")
		}
	})
}

// Guards against a cold engine that bears full load, which would hide a
// missing warm-up.
func TestColdEngineFallsUnderFullLoad(t *testing.T) {
	for _, test := range []struct {
		name  string
		opts  Options
		load  int
		falls int64
	}{
		{"cold full", Options{}, 16, 1},
		{"cold small", Options{}, DefaultColdMaxAttempts, 0},
		{"warm full", Options{StartWarm: true}, 64, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, test.opts, func(t *testing.T, e *Engine) {
				var g errgroup.Group
				for range test.load {
					g.Go(func() error {
						_, _ = generate(t, e, prompt("a", 1000, 8))
						return nil
					})
				}
				_ = g.Wait()
				if got := e.Stats().ColdStartCrashes; got != test.falls {
					t.Errorf("engine fell %d times, want %d", got, test.falls)
				}
			})
		})
	}
}

// Guards against an engine that is faster or slower than its stated rates, on
// which every measured latency rests.
func TestTimes(t *testing.T) {
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
			inBubble(t, test.opts, func(t *testing.T, e *Engine) {
				began := time.Now()
				if _, err := generate(t, e, prompt("a", test.prompt, 1)); err != nil {
					t.Fatal(err)
				}
				if d := time.Since(began); d < test.min || d > test.max {
					t.Errorf("first token after %v, want between %v and %v", d, test.min, test.max)
				}
			})
		})
	}
}

// Guards against a handler that does not tell a broken stream from a whole one.
func TestHandler(t *testing.T) {
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
			t.Errorf("stream lacks %q:\n%s", want, body.String())
		}
	}
}

// Guards against faults that do not take place, which would make every test
// under failure pass for nothing.
func TestFaults(t *testing.T) {
	long := prompt("a", 30_000, 20)
	for _, test := range []struct {
		name  string
		fault func(e *Engine)
		cause pwverdict.Cause // "" means that the attempt completes
		min   time.Duration
	}{
		{"none", func(*Engine) {}, "", 900 * time.Millisecond},
		{"crash", (*Engine).Crash, pwverdict.CauseEngineFailed, 0},
		{"crash on a request", func(e *Engine) { e.SetCrashFingerprint(long.Fingerprint, true) }, pwverdict.CauseEngineFailed, 0},
		{"cold", (*Engine).MakeCold, "", 2 * time.Second},
		{"slow", func(e *Engine) { e.SetSlowdown(3) }, "", 2 * time.Second},
		{"pause", func(e *Engine) {
			e.Pause()
			time.AfterFunc(10*time.Second, e.Resume)
		}, "", 10 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, Options{StartWarm: true}, func(t *testing.T, e *Engine) {
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

// Guards against an engine that keeps the memory of a cancelled attempt, and
// one that frees exported cache before it is dropped.
func TestMemoryIsFreed(t *testing.T) {
	inBubble(t, Options{StartWarm: true}, func(t *testing.T, e *Engine) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if _, err := e.Generate(ctx, prompt("a", 200_000, 1), func([]string) error { return nil }); err == nil {
			t.Error("attempt completes in spite of its cancellation")
		}
		handle, err := e.PrefillSegment(t.Context(), pwengine.Segment{
			GroupID:      "g",
			Prompt:       "b",
			PromptTokens: 50_000,
		})
		if used, _ := e.Usage(); err != nil || used != 50_000 {
			t.Errorf("engine holds %d tokens after a segment of 50000: %v", used, err)
		}
		if err := e.DropKV(t.Context(), handle); err != nil {
			t.Error(err)
		}
		if used, _ := e.Usage(); used != 0 {
			t.Errorf("engine still holds %d tokens", used)
		}
	})
}

// Guards against load reports and cache events that are fresher or more
// complete than a real engine's, which would hide a reliance on them.
func TestReportsLag(t *testing.T) {
	inBubble(t, Options{StartWarm: true, EventLossRate: 0.5}, func(t *testing.T, e *Engine) {
		const prompts = 40
		for i := range prompts {
			if _, err := generate(t, e, prompt(string(rune('a'+i)), 1000, 1)); err != nil {
				t.Fatal(err)
			}
		}
		if events, _ := e.CacheEvents(t.Context(), 0); len(events) > 0 {
			t.Errorf("%d events are there at once", len(events))
		}
		time.Sleep(DefaultEventLag)
		events, err := e.CacheEvents(t.Context(), 0)
		if err != nil || len(events) == 0 || len(events) >= prompts {
			t.Errorf("%d of %d events are there after the lag: %v", len(events), prompts, err)
		}
		go func() { _, _ = generate(t, e, prompt("z", 100_000, 1)) }()
		synctest.Wait()
		if load, _ := e.Load(t.Context()); load.Running != 0 {
			t.Error("load report does not lag")
		}
		time.Sleep(DefaultReportLag)
		if load, _ := e.Load(t.Context()); load.Running != 1 {
			t.Errorf("load report after the lag is %+v", load)
		}
	})
}

// Guards against an order that an engine without fencing would reject, and the
// reverse.
func TestOrdersAndFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		inBubble(t, Options{StartWarm: true, Fencing: fencing}, func(t *testing.T, e *Engine) {
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
