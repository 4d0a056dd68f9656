package pwdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakesite"
)

// promptSizes lists the prompts of the scripted load: their lengths and counts.
var promptSizes = []struct {
	name   string
	tokens int64
	count  int
}{
	{"1k", 1_000, 60},
	{"10k", 10_000, 20},
	{"100k", 100_000, 4},
	{"1M", 1_000_000, 1},
}

const (
	// answerTokens is the number of tokens that each prompt asks for.
	answerTokens = 12
	// reservations is the number of idempotency keys that are sent.
	reservations = 6
	// meanPromptInterval is the mean time between two prompts of the same size.
	meanPromptInterval = 40 * time.Millisecond
	// outageDelay and outageDuration are the start and the length of the time for
	// which a data centre is out of service during the load.
	outageDelay    = 1200 * time.Millisecond
	outageDuration = 1500 * time.Millisecond
	// maxLatencyMicros is the largest latency that a histogram records, in microseconds.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// maxEventBytes bounds one line of an event stream.
	maxEventBytes = 4 << 20
)

// scriptedLoad sends the scripted requests and collects their results.
type scriptedLoad struct {
	site *pwfakesite.Site
	opts *Options
	rng  *rand.Rand
	wg   sync.WaitGroup

	mu                sync.Mutex
	firstTokenLatency map[string]*hdrhistogram.Histogram
	completed         map[string]int
	refusals          map[string]int // by verdict and cause
	reservedKeys      int            // keys whose two requests have ended
	errs              []error
}

func newScriptedLoad(site *pwfakesite.Site, opts *Options) *scriptedLoad {
	l := &scriptedLoad{
		site:              site,
		opts:              opts,
		rng:               rand.New(rand.NewPCG(opts.Seed, 1)),
		firstTokenLatency: map[string]*hdrhistogram.Histogram{},
		completed:         map[string]int{},
		refusals:          map[string]int{},
	}
	for _, n := range promptSizes {
		l.firstTokenLatency[n.name] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	return l
}

// run sends the whole load and waits until it has ended. Meanwhile, the last data
// centre is taken out of service and brought back.
func (l *scriptedLoad) run(ctx context.Context) error {
	l.wg.Go(func() { l.simulateOutage(ctx) })
	for i := range reservations {
		l.wg.Go(func() { l.reserveTwice(ctx, fmt.Sprintf("scaffold-%d", i)) })
	}
	for _, n := range promptSizes {
		l.wg.Go(func() { l.sendPrompts(ctx, n.name, n.tokens, n.count) })
	}
	l.wg.Wait()
	return ctx.Err()
}

// simulateOutage takes the last data centre out of service for outageDuration.
func (l *scriptedLoad) simulateOutage(ctx context.Context) {
	sleep(ctx, outageDelay)
	l.setOutOfService(ctx, true)
	sleep(ctx, outageDuration)
	l.setOutOfService(ctx, false)
}

// setOutOfService marks the last data centre as an operator would, through the first
// entry.
func (l *scriptedLoad) setOutOfService(ctx context.Context, outOfService bool) {
	url := fmt.Sprintf("%s/v1/operator/data-centres/%s/mark", l.site.EntryURL(0), DataCentres[len(DataCentres)-1])
	body := fmt.Sprintf(`{"proposal_id":"demo-mark-%t","out":%t,"reason":"demo"}`, outOfService, outOfService)
	resp, err := l.send(ctx, http.MethodPut, url, []byte(body), map[string]string{
		"Authorization": "Bearer " + pwfakesite.OperatorCredential,
	})
	if err != nil {
		l.recordError(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		l.recordError(fmt.Errorf("setting the mark of a data centre: status %d: %s", resp.StatusCode, text))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendPrompts sends prompts of one size to random entries at random intervals and waits
// until all have ended.
func (l *scriptedLoad) sendPrompts(ctx context.Context, name string, tokens int64, count int) {
	var wg sync.WaitGroup
	for i := range count {
		l.mu.Lock()
		gap := time.Duration(float64(meanPromptInterval) * l.rng.ExpFloat64())
		entry := l.rng.IntN(l.site.Entries())
		l.mu.Unlock()
		sleep(ctx, gap)
		wg.Go(func() { l.sendPrompt(ctx, name, i, tokens, entry) })
	}
	wg.Wait()
}

// promptText returns a unique text that counts as the given number of tokens, at four
// characters per token.
func promptText(name string, i int, tokens int64) string {
	prefix := fmt.Sprintf("prompt %s %d ", name, i)
	return prefix + strings.Repeat("lamp", max(0, int(tokens)-len(prefix)/4-1))
}

// sendPrompt sends one prompt and records its latency and any error or wrong answer.
func (l *scriptedLoad) sendPrompt(ctx context.Context, name string, i int, tokens int64, entry int) {
	text := promptText(name, i, tokens)
	body, err := json.Marshal(map[string]any{
		"model":      pwfakesite.Model,
		"stream":     true,
		"max_tokens": answerTokens,
		"messages": []map[string]string{{
			"role":    "user",
			"content": text,
		}},
	})
	if err != nil {
		l.recordError(err)
		return
	}
	start := time.Now()
	resp, err := l.post(ctx, l.site.EntryURL(entry)+"/v1/chat/completions", body, nil)
	if err != nil {
		l.recordError(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		l.recordRefusal(resp.Body)
		return
	}
	answer, firstAt, err := readStream(resp.Body)
	if err != nil {
		l.recordError(fmt.Errorf("prompt %s %d: %w", name, i, err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed[name]++
	_ = l.firstTokenLatency[name].RecordValue(firstAt.Sub(start).Microseconds())
	if want := expectedAnswer(text); answer != want {
		l.errs = append(l.errs, fmt.Errorf("prompt %s %d: answer is %q, want %q", name, i, answer, want))
	}
}

func expectedAnswer(text string) string {
	var b strings.Builder
	for i := range int64(answerTokens) {
		b.WriteString(pwfakeengine.Token(text, i))
	}
	return b.String()
}

// readStream returns the answer in an event stream and the time at which its first
// token arrived.
func readStream(r io.Reader) (string, time.Time, error) {
	var answer strings.Builder
	var first time.Time
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return answer.String(), first, nil
		}
		var ev struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *struct {
				Detail  string `json:"detail"`
				Verdict string `json:"verdict"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return "", first, err
		}
		if ev.Error != nil {
			return "", first, fmt.Errorf("%s: %s", ev.Error.Verdict, ev.Error.Detail)
		}
		for _, c := range ev.Choices {
			if c.Delta.Content != "" && first.IsZero() {
				first = time.Now()
			}
			answer.WriteString(c.Delta.Content)
		}
	}
	return "", first, errors.Join(sc.Err(), errors.New("answer stream ended early"))
}

// reserveTwice sends one reservation twice with the same idempotency key, through
// different entries. It must run only once.
func (l *scriptedLoad) reserveTwice(ctx context.Context, key string) {
	for i := range 2 {
		url := fmt.Sprintf("%s/v1/services/%s/methods/reserve", l.site.EntryURL(i%l.site.Entries()), pwfakesite.PlainService)
		resp, err := l.post(ctx, url, []byte(`{"item":"scaffold"}`), map[string]string{
			"Idempotency-Key": key,
		})
		if err != nil {
			l.recordError(err)
			return
		}
		if resp.StatusCode >= http.StatusBadRequest {
			l.recordRefusal(resp.Body)
		}
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservedKeys++
}

func (l *scriptedLoad) post(ctx context.Context, url string, body []byte, header map[string]string) (*http.Response, error) {
	return l.send(ctx, http.MethodPost, url, body, header)
}

func (l *scriptedLoad) send(ctx context.Context, method, url string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+pwfakesite.Credential)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return l.opts.client.Do(req)
}

func (l *scriptedLoad) recordRefusal(body io.Reader) {
	var p struct {
		Verdict string `json:"verdict"`
		Cause   string `json:"cause"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxEventBytes)).Decode(&p); err != nil {
		l.recordError(err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[p.Verdict+" "+p.Cause]++
}

func (l *scriptedLoad) recordError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errs = append(l.errs, err)
}

// print writes the table of the measurements.
func (l *scriptedLoad) print(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "prompt\tsent\tcompleted\tfirst token median\t95th\t99th\t")
	for _, n := range promptSizes {
		h := l.firstTokenLatency[n.name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t\n", n.name, n.count, l.completed[n.name],
			formatQuantile(h, 50), formatQuantile(h, 95), formatQuantile(h, 99))
	}
	_ = t.Flush()
	fmt.Fprintf(w, "\nreservations: %d keys, each sent twice through two entries; runs by key: %s\n", l.reservedKeys, l.formatRunCounts())
	fmt.Fprintf(w, "data centre %s taken out and brought back during the load\n", DataCentres[len(DataCentres)-1])
	if len(l.refusals) == 0 {
		fmt.Fprintln(w, "refusals: none")
	}
	var keys []string
	for k := range l.refusals {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "refused %s: %d\n", k, l.refusals[k])
	}
}

func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	d := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	return d.Round(100 * time.Microsecond).String()
}

func (l *scriptedLoad) formatRunCounts() string {
	keysByRuns := map[int]int{}
	for _, n := range l.site.Service.AllRuns() {
		keysByRuns[n]++
	}
	return fmt.Sprintf("%d once, %d more than once", keysByRuns[1], len(l.site.Service.AllRuns())-keysByRuns[1])
}

// check returns an error if an answer was wrong or missing, or a reservation did not
// run exactly once.
func (l *scriptedLoad) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range promptSizes {
		if l.completed[n.name] != n.count {
			l.errs = append(l.errs, fmt.Errorf("%d of %d prompts of %s tokens were completed", l.completed[n.name], n.count, n.name))
		}
	}
	if n := len(l.site.Service.AllRuns()); n != reservations {
		l.errs = append(l.errs, fmt.Errorf("%d of %d reservations ran", n, reservations))
	}
	for key, n := range l.site.Service.AllRuns() {
		if n > 1 {
			l.errs = append(l.errs, pwverdict.New(pwverdict.Ran, pwverdict.CauseInternal, "reservation %s ran %d times", key, n))
		}
	}
	return errors.Join(l.errs...)
}
