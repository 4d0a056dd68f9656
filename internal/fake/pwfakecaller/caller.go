// Package pwfakecaller is a small test language for the callers' HTTP
// interface. A script starts a fleet in memory, sends HTTP requests to its
// entries without sockets, and states the responses byte for byte.
//
// # Usage
//
//	fleet engines=2 plain=1
//	----
//
//	send POST /v1/chat/completions as=demo
//	{"model":"lantern-design","messages":[{"role":"user","content":"words"}]}
//	----
//	200 application/json
//	...
//
// Random identifiers of requests and attempts are replaced by req-1, att-1 and
// so on, in the order of their appearance; $1 in a path stands for req-1.
// Scripts run inside testing/synctest bubbles on the runtime's clock.
package pwfakecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// Caller sends the requests of one script.
type Caller struct {
	ctx   context.Context
	fleet *pwfakefleet.Fleet
	apis  []*pwentry.API
	log   logBuffer

	ids     map[string]string // stable names by random identifiers
	random  map[string]string // the inverse
	running map[string]*exchange
	secrets []string // credentials and prompt text that were sent
}

// New returns a caller without a fleet.
func New(ctx context.Context) *Caller {
	return &Caller{
		ctx:     ctx,
		ids:     map[string]string{},
		random:  map[string]string{},
		running: map[string]*exchange{},
	}
}

// Close ends the fleet.
func (c *Caller) Close() {
	if c.fleet != nil {
		c.fleet.Close()
	}
}

// Run runs one command and returns its output.
func (c *Caller) Run(d *datadriven.TestData) string {
	commands := map[string]func(*datadriven.TestData) string{
		"fleet":    c.start,
		"send":     c.send,
		"begin":    c.begin,
		"finish":   c.finish,
		"advance":  c.advance,
		"shutdown": c.shutdown,
		"slow":     c.slow,
		"runs":     c.runs,
		"decision": c.decisions,
		"secrets":  c.leaks,
	}
	run, ok := commands[d.Cmd]
	if !ok {
		return fmt.Sprintf("unknown command %q", d.Cmd)
	}
	return run(d)
}

const (
	latency = 1500 * time.Microsecond
	// memory and length bounds of the stand-in engines are their defaults.
	workspace      = "demo"
	otherWorkspace = "other"
)

func (c *Caller) start(d *datadriven.TestData) string {
	centres := []pwrequest.DataCentre{"hakata"}
	engines, plain := pwscript.IntOr(d, "engines", 1), pwscript.IntOr(d, "plain", 1)
	docs, err := pwfakefleet.Documents(centres, engines, plain, workspace, otherWorkspace)
	if err != nil {
		return err.Error()
	}
	c.fleet = pwfakefleet.New(c.ctx, pwfakefleet.Options{
		DataCentres:           centres,
		EnginesPerCentre:      engines,
		PlainServersPerCentre: plain,
		EntryCount:            pwscript.IntOr(d, "entries", 1),
		Documents:             docs,
		InterCentreLatency:    latency,
		Seed:                  1,
		Observer:              pwobserve.New(&c.log, "entry", "hakata"),
		Engine: pwfakeengine.Options{
			StartWarm: true,
		},
	})
	c.fleet.WarmUp()
	for i := range c.fleet.EntryCount() {
		c.apis = append(c.apis, pwentry.NewAPI(c.fleet.Entry(i)))
	}
	return ""
}

// exchange is one request with its response.
type exchange struct {
	api      *pwentry.API
	request  *http.Request
	response *httptest.ResponseRecorder
	stop     context.CancelFunc
	done     chan struct{}
}

func (x *exchange) run() {
	defer close(x.done)
	x.api.ServeHTTP(x.response, x.request)
}

// send sends a request and prints the response, or its lines with a text.
func (c *Caller) send(d *datadriven.TestData) string {
	out := c.print(c.open(d, pwscript.Names(d)[0], pwscript.Names(d)[1]))
	only := pwscript.StringOr(d, "only", "")
	if only == "" {
		return out
	}
	kept := slices.DeleteFunc(strings.Split(out, "\n"), func(l string) bool { return !strings.Contains(l, only) })
	return strings.Join(kept, "\n")
}

// begin sends a request in the background, under a name.
func (c *Caller) begin(d *datadriven.TestData) string {
	n := pwscript.Names(d)
	c.running[n[0]] = c.open(d, n[1], n[2])
	return ""
}

// finish prints the response of a request in the background; with gone the
// caller closes its connection first.
func (c *Caller) finish(d *datadriven.TestData) string {
	x := c.running[pwscript.Names(d)[0]]
	if d.HasArg("gone") {
		x.stop()
	}
	return c.print(x)
}

// open sends a request. Its arguments are the workspace of the credential, the
// credential itself, an idempotency key, an offset, and the size of a body to
// make.
func (c *Caller) open(d *datadriven.TestData, method, path string) *exchange {
	ctx, stop := context.WithCancel(c.ctx)
	body := d.Input
	if n := pwscript.IntOr(d, "size", 0); n > 0 {
		body = `{"model":"` + pwfakefleet.Model + `","messages":[{"role":"user","content":"` + strings.Repeat("a", n) + `"}]}`
	}
	path = regexp.MustCompile(`\$\d+`).ReplaceAllStringFunc(path, func(s string) string { return c.random["req-"+s[1:]] })
	if v := pwscript.StringOr(d, "offset", ""); v != "" {
		path += "?offset=" + v
	}
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	credential := pwscript.StringOr(d, "credential", "")
	if w := pwscript.StringOr(d, "as", ""); w != "" {
		credential = w + pwfakefleet.CredentialSuffix
	}
	if credential != "" {
		r.Header.Set("Authorization", "Bearer "+credential)
		c.secrets = append(c.secrets, credential)
	}
	for arg, header := range map[string]string{
		"key":       "Idempotency-Key",
		"deadline":  "Pomeloweir-Deadline-Ms",
		"workspace": "Pomeloweir-Workspace",
		"service":   "Pomeloweir-Service",
	} {
		if v := pwscript.StringOr(d, arg, ""); v != "" {
			r.Header.Set(header, v)
		}
	}
	c.secrets = append(c.secrets, contents(body)...)
	x := &exchange{
		api:      c.apis[pwscript.IntOr(d, "entry", 0)],
		request:  r,
		response: httptest.NewRecorder(),
		stop:     stop,
		done:     make(chan struct{}),
	}
	go x.run()
	return x
}

// contents returns the text of the messages in a prompt.
func contents(body string) []string {
	var b struct {
		Messages []pwentry.ChatMessage `json:"messages"`
	}
	_ = json.Unmarshal([]byte(body), &b) // bodies that do not parse carry no prompt
	var out []string
	for _, m := range b.Messages {
		out = append(out, m.Content)
	}
	return out
}

// printed are the headers that callers rely on.
var printed = []string{"Retry-After", "Pomeloweir-Request-Id", "Pomeloweir-Replayed", "Cache-Control", "Allow", "Www-Authenticate"}

func (c *Caller) print(x *exchange) string {
	<-x.done
	x.stop()
	var b strings.Builder
	h := x.response.Header()
	fmt.Fprintln(&b, x.response.Code, h.Get("Content-Type"))
	for _, k := range printed {
		if v := h.Get(k); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", k, v)
		}
	}
	if x.request.URL.Path == "/openapi.json" {
		b.WriteString(operations(x.response.Body.Bytes()))
	} else {
		b.Write(x.response.Body.Bytes())
	}
	return c.stable(b.String())
}

// operations lists the operations of an OpenAPI document.
func operations(data []byte) string {
	var doc struct {
		Paths map[string]map[string]struct {
			ID string `json:"operationId"`
		} `json:"paths"`
	}
	if err := json.Unmarshal(data, &doc); err != nil {
		return err.Error()
	}
	var lines []string
	for path, methods := range doc.Paths {
		for m, op := range methods {
			lines = append(lines, fmt.Sprintf("%s %s %s", strings.ToUpper(m), path, op.ID))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

var identifier = regexp.MustCompile(`\b(req|att)-([A-Z2-7]{26}|[0-9a-f]{32})\b`)

// stable replaces random identifiers. Blank lines end a datadriven output and
// are printed as "|".
func (c *Caller) stable(s string) string {
	s = identifier.ReplaceAllStringFunc(s, func(id string) string {
		if _, ok := c.ids[id]; !ok {
			n := 1
			for known := range c.ids {
				if known[:4] == id[:4] {
					n++
				}
			}
			c.ids[id] = id[:4] + strconv.Itoa(n)
			c.random[c.ids[id]] = id
		}
		return c.ids[id]
	})
	lines := strings.Split(strings.TrimRight(s, "\n"), "\n")
	for i, l := range lines {
		if l == "" {
			lines[i] = "|"
		}
	}
	return strings.Join(lines, "\n")
}

func (c *Caller) advance(d *datadriven.TestData) string {
	v, err := time.ParseDuration(pwscript.Names(d)[0])
	if err != nil {
		return err.Error()
	}
	time.Sleep(v)
	return ""
}

// shutdown begins the graceful shutdown of an entry.
func (c *Caller) shutdown(d *datadriven.TestData) string {
	s := &shutdown{
		ctx:   c.ctx,
		entry: c.fleet.Entry(pwscript.IntOr(d, "entry", 0)),
	}
	go s.run()
	time.Sleep(time.Millisecond)
	return ""
}

type shutdown struct {
	ctx   context.Context
	entry *pwentry.Entry
}

func (s *shutdown) run() { _ = s.entry.Shutdown(s.ctx) }

// slow delays the next call at the plain service.
func (c *Caller) slow(*datadriven.TestData) string {
	c.fleet.Service.SetFault(pwfakeservice.FaultSlow, 1)
	return ""
}

// runs prints how often the plain service ran each key.
func (c *Caller) runs(*datadriven.TestData) string {
	var lines []string
	for key, n := range c.fleet.Service.AllRuns() {
		lines = append(lines, fmt.Sprintf("%s: %d", key, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// decisions prints the decision lines of one kind, without the attempt.
func (c *Caller) decisions(d *datadriven.TestData) string {
	var out []string
	for line := range strings.Lines(c.log.String()) {
		var l struct {
			Fields  map[string]string `json:"fields"`
			Message string            `json:"message"`
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			return fmt.Sprintf("line is no JSON: %q", line)
		}
		if l.Message != "decision" || l.Fields["kind"] != pwscript.Names(d)[0] {
			continue
		}
		var fields []string
		for k, v := range l.Fields {
			fields = append(fields, k+"="+v)
		}
		slices.Sort(fields)
		out = append(out, strings.Join(fields, " "))
	}
	return c.stable(strings.Join(out, "\n"))
}

// leaks prints the credentials and prompts that appear in the log, and how
// many it has looked for.
func (c *Caller) leaks(*datadriven.TestData) string {
	log := c.log.String()
	var out []string
	for _, s := range c.secrets {
		if strings.Contains(log, s) {
			out = append(out, "in the log: "+s)
		}
	}
	return strings.Join(append(out, fmt.Sprintf("%d of %d in the log", len(out), len(c.secrets))), "\n")
}

// logBuffer collects the log lines of all processes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}
