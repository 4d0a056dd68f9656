package pwprocess

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
)

const (
	testShutdown = 8 * time.Second
	// serviceDelay is how long each call of the plain service takes.
	serviceDelay = 30 * time.Second
	demoKey      = "key-of-another-entry"
)

// stopFixture is a fleet with two entries, of which the first one is stopped at startAt. Its
// callers use in-memory connections.
type stopFixture struct {
	t        *testing.T
	fleet    *pwfakefleet.Fleet
	process  *entryProcess
	servers  *httpServers
	listener *pwfakeplatform.PipeListener
	startAt  time.Time
}

func newStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	centres := []pwrequest.DataCentre{"hakata"}
	docs, err := pwfakefleet.Documents(centres, 2, 1, "demo")
	if err != nil {
		t.Fatal(err)
	}
	f := &stopFixture{
		t: t,
		fleet: pwfakefleet.New(t.Context(), pwfakefleet.Options{
			DataCentres:           centres,
			EnginesPerCentre:      2,
			PlainServersPerCentre: 1,
			EntryCount:            2,
			Documents:             docs,
		}),
		servers:  &httpServers{},
		listener: pwfakeplatform.NewPipeListener(),
	}
	f.fleet.WarmUp()
	f.fleet.Service.SetDelay(serviceDelay)
	f.fleet.Service.SetFault(pwfakeservice.FaultSlow, 10)
	t.Cleanup(func() {
		f.fleet.Close()
		time.Sleep(2 * serviceDelay)
	})
	f.process = &entryProcess{
		settings: &pwsettings.Settings{
			Entry: &pwsettings.Entry{
				ShutdownMS: testShutdown.Milliseconds(),
			},
		},
		obs:   pwobserve.Discard(),
		entry: f.fleet.Entry(0),
	}
	if err := f.servers.start(t.Context(), f.process.obs, endpoint{
		listener: f.listener,
		handler:  pwentry.NewAPI(f.process.entry),
	}); err != nil {
		t.Fatal(err)
	}
	return f
}

// stopCall is one request of a caller. Times count from the beginning of the shutdown.
type stopCall struct {
	method, path, body, key string
	// opened is when the connection is opened, sentAt when the request begins, and bodyTime
	// how long the caller takes to send its body.
	opened, sentAt, bodyTime time.Duration
	// kept is set if the connection carries another request when it is opened.
	kept bool
}

// stopResult is what a caller got.
type stopResult struct {
	status int
	closes bool
	body   string
	err    error
	// answeredAt counts from the beginning of the shutdown.
	answeredAt time.Duration
}

// run makes one call and returns its result.
func (f *stopFixture) run(call stopCall) stopResult {
	time.Sleep(time.Until(f.startAt.Add(call.opened)))
	c, err := f.listener.Dial(f.t.Context())
	if err != nil {
		return stopResult{
			err: err,
		}
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	if call.kept {
		if res := f.exchange(c, br, stopCall{method: http.MethodGet, path: "/healthz"}); res.status != http.StatusOK {
			return res
		}
	}
	time.Sleep(time.Until(f.startAt.Add(call.sentAt)))
	return f.exchange(c, br, call)
}

// exchange sends one request on an open connection and reads the response.
func (f *stopFixture) exchange(c net.Conn, br *bufio.Reader, call stopCall) (res stopResult) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer demo%s\r\nContent-Type: application/json\r\nPomeloweir-Deadline-Ms: 3000000\r\nContent-Length: %d\r\n",
		call.method, call.path, pwfakefleet.CredentialSuffix, len(call.body))
	if call.key != "" {
		head += "Idempotency-Key: " + call.key + "\r\n"
	}
	go func() {
		if _, err := io.WriteString(c, head+"\r\n"); err == nil {
			time.Sleep(call.bodyTime)
			_, _ = io.WriteString(c, call.body)
		}
	}()
	defer func() { res.answeredAt = time.Since(f.startAt) }()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	res.status, res.closes, res.body, res.err = resp.StatusCode, resp.Close, string(body), err
	return res
}

// Guards against callers of a stopping entry that get a closed connection instead of an
// answer, wrong verdicts, and work that is taken and cut.
func TestStoppingEntryAnswersCallers(t *testing.T) {
	const (
		chat    = "/v1/chat/completions"
		reserve = "/v1/services/" + pwfakefleet.PlainService + "/methods/" + pwfakeservice.MethodReserve
		before  = -time.Second
		late    = 3 * time.Second
		never   = 30 * time.Second
		mayRun  = `"verdict":"may_have_run"`
		notRun  = `"verdict":"not_run"`
	)
	prompt := func(tokens int, stream bool) string {
		return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"a question"}]}`, pwfakefleet.Model, tokens, stream)
	}
	post := func(path, body string) stopCall {
		return stopCall{method: http.MethodPost, path: path, body: body, opened: before, sentAt: before}
	}
	at := func(c stopCall, sentAt time.Duration, kept bool) stopCall {
		c.sentAt, c.kept = sentAt, kept
		return c
	}
	slow := func(c stopCall, bodyTime time.Duration) stopCall {
		c.bodyTime = bodyTime
		return c
	}
	withKey := func(c stopCall, key string) stopCall {
		c.key = key
		return c
	}
	follow := stopCall{method: http.MethodGet, path: "/v1/requests/FOREIGN/answer", opened: before}
	for name, tc := range map[string]struct {
		call stopCall
		// slowStore is how long before the shutdown the store becomes slow; 0 means never.
		slowStore time.Duration
		// busy is set if another request runs until the end of the shutdown.
		busy   bool
		status int
		// texts are parts of the body.
		texts []string
		// by is when the answer must be complete, if not at the end of the shutdown.
		by time.Duration
	}{
		"whole answer, too long":               {call: post(chat, prompt(8000, false)), status: 503, texts: []string{mayRun, "draining"}},
		"whole answer, short":                  {call: post(chat, prompt(100, false)), status: 200, texts: []string{"usage"}},
		"stream, too long":                     {call: post(chat, prompt(8000, true)), status: 200, texts: []string{mayRun, "draining", "[DONE]"}},
		"stream, short":                        {call: post(chat, prompt(100, true)), status: 200, texts: []string{`"finish_reason":"length"`, "[DONE]"}},
		"call that runs once, too long":        {call: withKey(post(reserve, `{"item":"scaffold"}`), "k1"), status: 503, texts: []string{mayRun, "draining"}},
		"late prompt, kept connection":         {call: at(post(chat, prompt(8, false)), late, true), busy: true, status: 503, texts: []string{notRun, "draining"}, by: late},
		"late stream, unused connection":       {call: at(post(chat, prompt(8, true)), late, false), busy: true, status: 503, texts: []string{notRun, "draining"}, by: late},
		"late call that runs once":             {call: at(withKey(post(reserve, `{"item":"scaffold"}`), "k1"), late, true), busy: true, status: 503, texts: []string{notRun, "draining"}, by: late},
		"late stream, new connection":          {call: stopCall{method: http.MethodPost, path: chat, body: prompt(8, true), opened: late, sentAt: late}, busy: true, status: 503, texts: []string{notRun, "draining"}, by: late},
		"follower from before":                 {call: at(follow, before, false), status: 200, texts: []string{mayRun, "draining", "[DONE]"}},
		"body that ends late":                  {call: slow(post(chat, prompt(8, true)), late), status: 503, texts: []string{notRun, "draining"}, by: late},
		"late follower":                        {call: at(follow, late, true), busy: true, status: 503, texts: []string{mayRun, "draining"}, by: late},
		"late repeat of a prompt":              {call: at(withKey(post(chat, prompt(8000, true)), demoKey), late, true), busy: true, status: 503, texts: []string{mayRun, "draining"}, by: late},
		"repeat whose body ends late":          {call: slow(withKey(post(chat, prompt(8000, true)), demoKey), late), status: 503, texts: []string{mayRun, "draining"}, by: late},
		"unused connection, nothing runs":      {call: at(post(chat, prompt(8, true)), time.Second, false), status: 503, texts: []string{notRun, "draining"}, by: time.Second},
		"unused connection, call that is safe": {call: at(stopCall{method: http.MethodGet, path: "/readyz", opened: before}, time.Second, false), status: 503, by: time.Second},
		"body that doesn't end":                {call: slow(post(chat, prompt(8, true)), never), status: 408, texts: []string{notRun}},
		"body that doesn't end, busy":          {call: slow(post(chat, prompt(8, true)), never), busy: true, status: 408, texts: []string{notRun}},
		"body that begins at the end":          {call: stopCall{method: http.MethodPost, path: chat, body: prompt(8, true), opened: 4 * time.Second, sentAt: 6500 * time.Millisecond, bodyTime: never}, busy: true, status: 408, texts: []string{notRun}},
		"call that runs once, slow store":      {call: withKey(post(reserve, `{"item":"scaffold"}`), "k1"), slowStore: 500 * time.Millisecond, status: 503, texts: []string{mayRun, "draining"}},
		"call that is claimed, slow store":     {call: withKey(post(reserve, `{"item":"scaffold"}`), "k1"), slowStore: 1500 * time.Millisecond, status: 503, texts: []string{notRun, "draining"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStopFixture(t)
				foreign, err := f.fleet.Entry(1).Submit(t.Context(), pwentry.Submission{
					Workspace:      "demo",
					Service:        pwfakefleet.ModelService,
					Model:          pwfakefleet.Model,
					Prompt:         "a question",
					MaxTokens:      8000,
					Deadline:       time.Hour,
					IdempotencyKey: demoKey,
				})
				if err != nil {
					t.Fatal(err)
				}
				f.startAt = time.Now().Add(3 * time.Second)
				if tc.busy {
					go f.run(post(chat, prompt(8000, false)))
				}
				tc.call.path = strings.Replace(tc.call.path, "FOREIGN", string(foreign.Request().ID()), 1)
				answered := make(chan stopResult, 1)
				go func() { answered <- f.run(tc.call) }()
				time.Sleep(time.Until(f.startAt) - tc.slowStore)
				if tc.slowStore > 0 {
					f.fleet.Table.SetLatency(time.Minute)
				}
				time.Sleep(tc.slowStore)
				_ = f.process.shutdown(t.Context(), f.servers)
				if d := time.Since(f.startAt); d > testShutdown {
					t.Errorf("the shutdown took %s, allowed are %s", d, testShutdown)
				}
				res := <-answered
				by := testShutdown
				if tc.by > 0 {
					by = tc.by + 100*time.Millisecond
				}
				if res.err != nil || res.status != tc.status || res.answeredAt > by {
					t.Errorf("the caller got status %d (error %v) at %s, want %d by %s: %.300s", res.status, res.err, res.answeredAt, tc.status, by, res.body)
				}
				for _, text := range tc.texts {
					if !strings.Contains(res.body, text) {
						t.Errorf("the answer lacks %s: %.1000s", text, res.body)
					}
				}
				if tc.call.sentAt > 0 && res.err == nil && !res.closes {
					t.Error("the answer doesn't ask the caller to close its connection")
				}
			})
		})
	}
}
