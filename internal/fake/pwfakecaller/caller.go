// Package pwfakecaller is a small test language for the callers' HTTP interface. A script
// starts an in-memory fleet, sends HTTP requests to its entries without sockets, and
// contains the expected responses byte for byte.
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
// In the output, the random identifiers of requests and attempts are replaced by the
// aliases req-1, att-1 and so on, in the order of their first appearance. In the path of a
// request, $1 stands for the identifier with the alias req-1. Scripts use the fake clock
// and run inside testing/synctest bubbles.
package pwfakecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// Caller runs the commands of one script.
type Caller struct {
	ctx   context.Context
	fleet *pwfakefleet.Fleet
	apis  []*pwentry.API
	log   logBuffer

	aliases    map[string]string    // aliases by random identifier
	idsByAlias map[string]string    // random identifiers by alias
	exchanges  map[string]*exchange // requests in the background, by name
	secrets    []string             // credentials and prompt texts that were sent
}

// New returns a caller without a fleet.
func New(ctx context.Context) *Caller {
	return &Caller{
		ctx:        ctx,
		aliases:    map[string]string{},
		idsByAlias: map[string]string{},
		exchanges:  map[string]*exchange{},
	}
}

// Close ends the fleet, if the script has started one.
func (c *Caller) Close() {
	if c.fleet != nil {
		c.fleet.Close()
	}
}

// Run runs one command of a script and returns its output.
func (c *Caller) Run(d *datadriven.TestData) string {
	commands := map[string]func(*datadriven.TestData) string{
		"fleet":    c.startFleet,
		"send":     c.sendRequest,
		"begin":    c.beginRequest,
		"finish":   c.finishRequest,
		"advance":  c.advanceTime,
		"shutdown": c.beginShutdown,
		"slow":     c.delayNextCall,
		"runs":     c.listRuns,
		"decision": c.listDecisions,
		"secrets":  c.listLeakedSecrets,
	}
	run, ok := commands[d.Cmd]
	if !ok {
		return fmt.Sprintf("unknown command %q", d.Cmd)
	}
	return run(d)
}

const (
	interCentreLatency = 1500 * time.Microsecond
	workspace          = "demo"
	otherWorkspace     = "other"
)

// startFleet starts a fleet in one data centre and warms it up. Its engines have the
// default memory and length limits.
func (c *Caller) startFleet(d *datadriven.TestData) string {
	centres := []pwrequest.DataCentre{"hakata"}
	engines, plainServers := pwscript.IntOr(d, "engines", 1), pwscript.IntOr(d, "plain", 1)
	docs, err := pwfakefleet.Documents(centres, engines, plainServers, workspace, otherWorkspace)
	if err != nil {
		return err.Error()
	}
	c.fleet = pwfakefleet.New(c.ctx, pwfakefleet.Options{
		DataCentres:           centres,
		EnginesPerCentre:      engines,
		PlainServersPerCentre: plainServers,
		EntryCount:            pwscript.IntOr(d, "entries", 1),
		Documents:             docs,
		InterCentreLatency:    interCentreLatency,
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

// exchange is one request with its response, which is complete when done is closed.
type exchange struct {
	api      *pwentry.API
	request  *http.Request
	response *httptest.ResponseRecorder
	cancel   context.CancelFunc
	done     chan struct{}
}

func (x *exchange) run() {
	defer close(x.done)
	serve(x.api, x.response, x.request)
}

// serve serves a request as net/http does: a handler that aborts the connection ends the
// response where it is.
func serve(api *pwentry.API, w http.ResponseWriter, r *http.Request) {
	defer func() {
		v := recover()
		if err, ok := v.(error); v != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(v)
		}
	}()
	api.ServeHTTP(w, r)
}

// sendRequest sends a request and prints the response. With the argument only, it prints
// just the lines that contain the given text.
func (c *Caller) sendRequest(d *datadriven.TestData) string {
	out := c.formatResponse(c.startRequest(d, pwscript.Names(d)[0], pwscript.Names(d)[1]))
	only := pwscript.StringOr(d, "only", "")
	if only == "" {
		return out
	}
	kept := slices.DeleteFunc(strings.Split(out, "\n"), func(l string) bool { return !strings.Contains(l, only) })
	return strings.Join(kept, "\n")
}

// beginRequest sends a request in the background and keeps it under a name.
func (c *Caller) beginRequest(d *datadriven.TestData) string {
	n := pwscript.Names(d)
	c.exchanges[n[0]] = c.startRequest(d, n[1], n[2])
	return ""
}

// finishRequest waits for a request in the background and prints its response. With the
// argument gone, the caller closes its connection first.
func (c *Caller) finishRequest(d *datadriven.TestData) string {
	x := c.exchanges[pwscript.Names(d)[0]]
	if d.HasArg("gone") {
		x.cancel()
	}
	return c.formatResponse(x)
}

// startRequest sends a request and does not wait for its response. The arguments are: as,
// the workspace whose credential is sent; credential, a literal credential; key, deadline,
// workspace and service, the values of headers; offset, a query parameter; size, the size
// in bytes of a generated prompt; and entry, the index of the entry.
func (c *Caller) startRequest(d *datadriven.TestData, method, path string) *exchange {
	ctx, stop := context.WithCancel(c.ctx)
	body := d.Input
	if n := pwscript.IntOr(d, "size", 0); n > 0 {
		body = `{"model":"` + pwfakefleet.Model + `","messages":[{"role":"user","content":"` + strings.Repeat("a", n) + `"}]}`
	}
	path = regexp.MustCompile(`\$\d+`).ReplaceAllStringFunc(path, func(s string) string { return c.idsByAlias["req-"+s[1:]] })
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
	c.secrets = append(c.secrets, promptTexts(body)...)
	x := &exchange{
		api:      c.apis[pwscript.IntOr(d, "entry", 0)],
		request:  r,
		response: httptest.NewRecorder(),
		cancel:   stop,
		done:     make(chan struct{}),
	}
	go x.run()
	return x
}

// promptTexts returns the texts of the chat messages in a request body.
func promptTexts(body string) []string {
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

// printedHeaders are the response headers that callers rely on.
var printedHeaders = []string{"Retry-After", "Pomeloweir-Request-Id", "Pomeloweir-Replayed", "Cache-Control", "Allow", "Www-Authenticate"}

// formatResponse waits for a response and returns its status, content type, the
// printedHeaders and the body. An OpenAPI document is reduced to its operations.
func (c *Caller) formatResponse(x *exchange) string {
	<-x.done
	x.cancel()
	var b strings.Builder
	h := x.response.Header()
	fmt.Fprintln(&b, x.response.Code, h.Get("Content-Type"))
	for _, k := range printedHeaders {
		if v := h.Get(k); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", k, v)
		}
	}
	if x.request.URL.Path == "/openapi.json" {
		b.WriteString(listOperations(x.response.Body.Bytes()))
	} else {
		b.Write(x.response.Body.Bytes())
	}
	return c.replaceIDs(b.String())
}

// listOperations lists the operations of an OpenAPI document.
func listOperations(data []byte) string {
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

var randomID = regexp.MustCompile(`\b(req|att)-([A-Z2-7]{26}|[0-9a-f]{32})\b`)

// replaceIDs replaces random identifiers by their aliases. It also replaces blank lines by
// "|", because a blank line ends the output in a datadriven file.
func (c *Caller) replaceIDs(s string) string {
	s = randomID.ReplaceAllStringFunc(s, func(id string) string {
		if _, ok := c.aliases[id]; !ok {
			n := 1
			for known := range c.aliases {
				if known[:4] == id[:4] {
					n++
				}
			}
			c.aliases[id] = id[:4] + strconv.Itoa(n)
			c.idsByAlias[c.aliases[id]] = id
		}
		return c.aliases[id]
	})
	lines := strings.Split(strings.TrimRight(s, "\n"), "\n")
	for i, l := range lines {
		if l == "" {
			lines[i] = "|"
		}
	}
	return strings.Join(lines, "\n")
}

// advanceTime advances the fake clock by a duration.
func (c *Caller) advanceTime(d *datadriven.TestData) string {
	duration, err := time.ParseDuration(pwscript.Names(d)[0])
	if err != nil {
		return err.Error()
	}
	time.Sleep(duration)
	return ""
}

// beginShutdown starts the graceful shutdown of an entry in the background.
func (c *Caller) beginShutdown(d *datadriven.TestData) string {
	s := &shutdown{
		ctx:   c.ctx,
		entry: c.fleet.Entry(pwscript.IntOr(d, "entry", 0)),
	}
	go s.run()
	time.Sleep(time.Millisecond)
	return ""
}

// shutdown is the graceful shutdown of one entry.
type shutdown struct {
	ctx   context.Context
	entry *pwentry.Entry
}

func (s *shutdown) run() { _ = s.entry.Shutdown(s.ctx) }

// delayNextCall makes the plain service delay the next call.
func (c *Caller) delayNextCall(*datadriven.TestData) string {
	c.fleet.Service.SetFault(pwfakeservice.FaultSlow, 1)
	return ""
}

// listRuns prints how often the plain service ran the reservation of each key.
func (c *Caller) listRuns(*datadriven.TestData) string {
	var lines []string
	for key, n := range c.fleet.Service.AllRuns() {
		lines = append(lines, fmt.Sprintf("%s: %d", key, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// listDecisions prints the fields of the logged decisions of one kind.
func (c *Caller) listDecisions(d *datadriven.TestData) string {
	var out []string
	for line := range strings.Lines(c.log.String()) {
		var l struct {
			Fields  map[string]string `json:"fields"`
			Message string            `json:"message"`
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			return fmt.Sprintf("log line is not JSON: %q", line)
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
	return c.replaceIDs(strings.Join(out, "\n"))
}

// listLeakedSecrets prints the credentials and prompt texts that appear in the log, their
// number, and the number of those that were sent.
func (c *Caller) listLeakedSecrets(*datadriven.TestData) string {
	log := c.log.String()
	var out []string
	for _, s := range c.secrets {
		if strings.Contains(log, s) {
			out = append(out, "in the log: "+s)
		}
	}
	return strings.Join(append(out, fmt.Sprintf("%d of %d in the log", len(out), len(c.secrets))), "\n")
}

// logBuffer collects the log lines of all processes of a fleet.
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
