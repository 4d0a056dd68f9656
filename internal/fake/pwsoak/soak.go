// Package pwsoak runs the real programs as processes on loopback, troubles them
// from outside, and checks the promises that callers and backend servers see:
// a request that must run at most once does, "not run" is true, each caller
// gets its own answer whole, and streams lose and repeat nothing.
//
// # Usage
//
//	rep, err := pwsoak.Run(ctx, pwsoak.Options{
//		Binary: "target/pomeloweir",
//		Seed:   1,
//		Time:   6 * time.Second,
//	})
//
// It starts a few processes and ends only these, by their identifiers.
package pwsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
)

const (
	entries  = 2
	models   = 4
	desks    = 3
	callers  = 10
	grace    = 5 * time.Second
	startup  = 5 * time.Second
	settling = 6 * time.Second
	// resetInterval leaves some requests the time to run and lose their answer.
	resetInterval = 30 * time.Millisecond
)

// Options are the inputs of Run.
type Options struct {
	// Binary is the program under test.
	Binary string
	Seed   uint64
	// Time is how long faults come; then everything is sound for a while.
	Time time.Duration
	// Dir takes the logs of the processes; it must exist.
	Dir string
}

// Report is the outcome of a run.
type Report struct {
	Faults   []string
	Asked    int
	Served   int
	Refused  int
	Failed   int
	Broken   []string
	SoundBad int
}

type soak struct {
	opts    Options
	rnd     *rand.Rand
	store   *pwfakeplatform.Store
	ledger  *ledger
	entries []*entry
	servers map[string]*backend
	front   string
	// version is that of the newest configuration.
	version atomic.Int64

	mu     sync.Mutex
	report Report
	next   int
}

// entry is one process under test.
type entry struct {
	index   int
	cmd     *exec.Cmd
	callers string
	ready   string
	dir     string
	done    chan struct{}
}

// Run plays one seed.
func Run(ctx context.Context, opts Options) (Report, error) {
	s := &soak{
		opts:  opts,
		rnd:   rand.New(rand.NewPCG(opts.Seed, 1)),
		store: pwfakeplatform.NewStore(),
		ledger: &ledger{
			runs: make(map[string]int),
		},
		servers: make(map[string]*backend),
	}
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return s.report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runCaller(ctx, rand.New(rand.NewPCG(opts.Seed, uint64(100+i))))
		}()
	}
	s.trouble(ctx)
	s.heal()
	sleep(ctx, settling)
	s.mu.Lock()
	before := s.report
	s.mu.Unlock()
	sleep(ctx, 2*time.Second)
	cancel()
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.SoundBad = s.report.Refused + s.report.Failed - before.Refused - before.Failed
	return s.report, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *soak) start(ctx context.Context) error {
	lis, err := listen(ctx)
	if err != nil {
		return err
	}
	s.front = lis.Addr().String()
	srv := &http.Server{
		Handler:           s.store,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		// Serve always ends with an error; the end is wanted.
		_ = srv.Serve(lis)
	}()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	s.store.Put("op", "config", configuration(s.version.Add(1), []string{"model", "desk"}))
	for i := range models + desks {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	for i := range entries {
		e := &entry{
			index: i,
			dir:   filepath.Join(s.opts.Dir, fmt.Sprintf("entry-%d", i)),
		}
		if err := os.MkdirAll(e.dir, 0o755); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := s.startEntry(ctx, e); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := e.awaitReady(ctx, startup); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) addServer(ctx context.Context, i int) error {
	service := "model"
	if i >= models {
		service = "desk"
	}
	s.next++
	b, err := startBackend(ctx, fmt.Sprintf("i-%s-%d-%d", service, i, s.next), service, "a", s.ledger, s.store)
	if err != nil {
		return err
	}
	s.servers[fmt.Sprint(i)] = b
	return nil
}

// freePorts returns ports that were free a moment ago.
func freePorts(ctx context.Context, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (s *soak) startEntry(ctx context.Context, e *entry) error {
	if e.callers == "" {
		ports, err := freePorts(ctx, 3)
		if err != nil {
			return err
		}
		e.callers, e.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
		settings := fmt.Sprintf("node=entry-%d\nzone=a\nip-address=127.0.0.1\nlisten-addresses.front=%s\nlisten-addresses.ready=%s\n"+
			"internal-ports=%d,%d\nplatform.address=%s\nlimits.memory-mb=256\nbounds.grace-s=%d\n",
			e.index, e.callers, e.ready, ports[2], ports[2], s.front, int(grace.Seconds()))
		if err := os.WriteFile(filepath.Join(e.dir, "settings.conf"), []byte(settings), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(e.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process must outlive a context that only ends the faults.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), s.opts.Binary, "gateway", "--settings", filepath.Join(e.dir, "settings.conf"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	go func() {
		// The exit status of a process that was killed says nothing.
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// isReady asks the process whether it takes connections.
func (e *entry) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/v1/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) awaitReady(ctx context.Context, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 20*time.Millisecond) {
		if e.isReady(ctx) {
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready after %s; its log is in %s", e.index, within, e.dir)
}

// stop ends what was started.
func (s *soak) stop() {
	for _, e := range s.entries {
		if e.cmd != nil {
			// It may have ended already.
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.done
		}
	}
	for _, b := range s.servers {
		b.crash()
	}
}

// trouble brings faults, one after the other and overlapping, until its time is over.
func (s *soak) trouble(ctx context.Context) {
	end := time.Now().Add(s.opts.Time)
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(end) && ctx.Err() == nil {
		name, f := s.draw()
		s.mu.Lock()
		s.report.Faults = append(s.report.Faults, name)
		s.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
		sleep(ctx, time.Duration(200+s.rnd.IntN(700))*time.Millisecond)
	}
}

// draw picks the next fault. Faults of one process run under its own lock, so
// that only one at a time strikes it.
func (s *soak) draw() (string, func(context.Context)) {
	e := s.entries[s.rnd.IntN(len(s.entries))]
	i := s.rnd.IntN(models + desks)
	pause := time.Duration(300+s.rnd.IntN(1500)) * time.Millisecond
	switch s.rnd.IntN(17) {
	case 0:
		return fmt.Sprintf("kill entry %d", e.index), func(ctx context.Context) { s.restart(ctx, e, syscall.SIGKILL) }
	case 1:
		return fmt.Sprintf("stop entry %d", e.index), func(ctx context.Context) { s.restart(ctx, e, syscall.SIGTERM) }
	case 2:
		return fmt.Sprintf("freeze entry %d for %s", e.index, pause), func(ctx context.Context) { s.freeze(ctx, e, pause) }
	case 3:
		return fmt.Sprintf("reload entry %d", e.index), func(context.Context) { s.signal(e, syscall.SIGHUP) }
	case 4:
		return "store busy for " + pause.String(), func(ctx context.Context) { s.storeFault(ctx, "busy", pause) }
	case 5:
		return "store silent for " + pause.String(), func(ctx context.Context) { s.storeFault(ctx, "silent", pause) }
	case 6:
		return "store forgets its history", func(context.Context) { s.store.Compact() }
	case 7:
		return fmt.Sprintf("replace server %d after a crash", i), func(ctx context.Context) { s.replace(ctx, i, true) }
	case 8:
		return fmt.Sprintf("replace server %d after draining", i), func(ctx context.Context) { s.replace(ctx, i, false) }
	case 11:
		return "store slow for " + pause.String(), func(ctx context.Context) { s.storeFault(ctx, pwfakeplatform.StoreFaultSlow, pause) }
	case 12:
		return "store loses answers for " + pause.String(), func(ctx context.Context) { s.storeFault(ctx, pwfakeplatform.StoreFaultLostReply, pause) }
	case 13:
		return "store garbles answers for " + pause.String(), func(ctx context.Context) { s.storeFault(ctx, pwfakeplatform.StoreFaultTruncatedReply, pause) }
	case 14:
		off := time.Duration(s.rnd.IntN(7200)-3600) * time.Second
		return "store's clock off by " + off.String(), func(ctx context.Context) {
			s.store.SetClockOffset(off)
			sleep(ctx, pause)
			s.store.SetClockOffset(0)
		}
	case 15:
		return "foreign rows among servers and processes", func(context.Context) {
			s.store.PutInvalidRow("servers", "i-foreign")
			s.store.PutInvalidRow("pomeloweir-instances", "foreign")
		}
	case 16:
		return "configuration spoilt for " + pause.String(), func(ctx context.Context) { s.spoilConfiguration(ctx, pause) }
	case 9:
		return fmt.Sprintf("reset connections of server %d for %s", i, pause), func(ctx context.Context) {
			for end := time.Now().Add(pause); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, resetInterval) {
				s.server(i).proxy.reset()
			}
		}
	default:
		return fmt.Sprintf("silence server %d for %s", i, pause), func(ctx context.Context) {
			p := s.server(i).proxy
			p.set(0, true)
			sleep(ctx, pause)
			p.set(0, false)
		}
	}
}

func (s *soak) server(i int) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[fmt.Sprint(i)]
}

func (s *soak) signal(e *entry, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The process may have ended a moment ago.
	_ = e.cmd.Process.Signal(sig)
}

func (s *soak) restart(ctx context.Context, e *entry, sig syscall.Signal) {
	s.mu.Lock()
	done := e.done
	s.mu.Unlock()
	s.signal(e, sig)
	select {
	case <-done:
	case <-time.After(grace + time.Second):
		s.broken("entry %d still runs %s after %s", e.index, grace+time.Second, sig)
		s.signal(e, syscall.SIGKILL)
		<-done
	case <-ctx.Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.done == done {
		if err := s.startEntry(ctx, e); err != nil {
			s.report.Broken = append(s.report.Broken, err.Error())
		}
	}
}

func (s *soak) freeze(ctx context.Context, e *entry, pause time.Duration) {
	s.signal(e, syscall.SIGSTOP)
	sleep(ctx, pause)
	s.signal(e, syscall.SIGCONT)
}

func (s *soak) storeFault(ctx context.Context, fault pwfakeplatform.StoreFault, pause time.Duration) {
	s.store.SetFault(fault)
	sleep(ctx, pause)
	s.store.SetFault("")
}

// spoilConfiguration overwrites the operators' row and then writes a newer one.
// The configuration before it stays in force meanwhile.
func (s *soak) spoilConfiguration(ctx context.Context, pause time.Duration) {
	s.store.PutInvalidRow("op", "config")
	sleep(ctx, pause)
	s.store.Put("op", "config", configuration(s.version.Add(1), []string{"model", "desk"}))
}

func (s *soak) replace(ctx context.Context, i int, crash bool) {
	s.mu.Lock()
	old := s.servers[fmt.Sprint(i)]
	err := s.addServer(ctx, i)
	s.mu.Unlock()
	if err != nil {
		s.broken("starting a server: %v", err)
		return
	}
	if crash {
		old.crash()
		sleep(ctx, time.Second)
	} else {
		old.leave()
		sleep(ctx, 3*time.Second)
		old.crash()
	}
	s.store.Put("servers", old.id, nil)
}

func (s *soak) heal() {
	s.store.SetFault("")
	s.store.SetClockOffset(0)
	for _, e := range s.entries {
		s.signal(e, syscall.SIGCONT)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.servers {
		b.proxy.set(0, false)
	}
}

func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, fmt.Sprintf(format, args...))
}

// runCaller sends requests one after the other, mostly on kept connections.
func (s *soak) runCaller(ctx context.Context, rnd *rand.Rand) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2,
	}
	defer transport.CloseIdleConnections()
	c := &http.Client{
		Transport: transport,
	}
	for ctx.Err() == nil {
		e := s.entries[rnd.IntN(len(s.entries))]
		if !e.isReady(ctx) {
			sleep(ctx, 20*time.Millisecond)
			continue
		}
		kind := []string{"note", "book", "view"}[rnd.IntN(3)]
		s.ask(ctx, c, e, kind, fmt.Sprintf("%016x", rnd.Uint64()))
		sleep(ctx, time.Duration(rnd.IntN(20))*time.Millisecond)
	}
}

// ask sends one request and checks its answer.
func (s *soak) ask(ctx context.Context, c *http.Client, e *entry, kind, id string) {
	ctx, cancel := context.WithTimeout(ctx, 9*time.Second)
	defer cancel()
	method, body := http.MethodPost, "body of "+id
	if kind == "view" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+"/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		s.broken("building a request: %v", err)
		return
	}
	r.Host = "soak.example"
	// The library must not send a request again by itself.
	r.GetBody = nil
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Milliseconds", "8000")
	if kind == "note" {
		r.Header.Set("X-Token-Counts", "3000,100")
	}
	status, got, err := exchange(c, r)
	if ctx.Err() != nil {
		return
	}
	s.check(kind, id, body, status, got, err)
}

func exchange(c *http.Client, r *http.Request) (int, string, error) {
	resp, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// check compares what the caller got with what the servers ran.
func (s *soak) check(kind, id, body string, status int, got string, err error) {
	runs := s.ledger.count(id)
	want := fmt.Sprintf("%s /%s/x %s", id, kind, body)
	if kind == "note" {
		var b strings.Builder
		for i := 1; i <= streamEvents; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, id)
		}
		want = b.String()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Asked++
	fail := func(format string, args ...any) {
		s.report.Broken = append(s.report.Broken, fmt.Sprintf("%s %s: ", kind, id)+fmt.Sprintf(format, args...))
	}
	if kind == "book" && runs > 1 {
		fail("ran %d times", runs)
	}
	switch {
	case err != nil:
		s.report.Failed++
		if status == http.StatusOK && !strings.HasPrefix(want, got) {
			fail("a cut answer holds something else: %q", got)
		}
	case status == http.StatusOK:
		s.report.Served++
		if got != want {
			fail("answered with %q, want %q", got, want)
		}
		if runs == 0 {
			fail("answered without a run")
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.report.Refused++
		if runs > 0 {
			fail("refused as not run, and ran %d times", runs)
		}
	default:
		s.report.Failed++
		if status < 500 {
			fail("answered %d", status)
		}
	}
}
