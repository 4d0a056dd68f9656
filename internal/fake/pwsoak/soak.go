// Package pwsoak runs the real program as several processes on loopback, injects
// faults from outside, and checks what callers and backend servers rely on: an
// at-most-once request never runs twice, a request refused as not run did not run,
// each caller gets its own complete response, streams lose and repeat no events, and the
// newest configuration is in force after all faults.
//
// # Usage
//
//	rep, err := pwsoak.Run(ctx, pwsoak.Options{
//		Binary:        "target/pomeloweir",
//		Seed:          1,
//		FaultDuration: 6 * time.Second,
//		WorkDir:       dir,
//	})
//
// Run signals only the processes that it started, by their process ids.
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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
)

const (
	// minEntries is the default number of processes of even seeds; odd ones have one more.
	minEntries = 2
	// Of the modelServers, one is limited, one leaves and one rests after the faults, while
	// others may still crash under a part of a prompt.
	modelServers  = 8
	deskServers   = 3
	callerCount   = 10
	shutdownGrace = 5 * time.Second
	// disturbedGrace is the time in which a process ends that may be frozen meanwhile.
	disturbedGrace = shutdownGrace + time.Second
	startupTimeout = 5 * time.Second
	recoveryTime   = 6 * time.Second
	// resetInterval is long enough for some requests to run before a reset cuts off
	// their response.
	resetInterval = 30 * time.Millisecond
	// maxLaterRequests is the number of requests with a part that has crashed five servers
	// that may reach servers later. It is checked after the recovery, because processes
	// that are disturbed are excused.
	maxLaterRequests = 3
	// limitWindow, limitFactor and limitSlack bound the requests to a server that states
	// a limit, from stableWindow after it first did.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	stableWindow = 3 * time.Second
	// drainTimeout is the time after which an entry must send nothing to a server that has
	// stated to it that it leaves.
	drainTimeout = 2 * time.Second
	// From restGrace after a server has asked an entry for restTime of rest, it may get
	// maxRestArrivals requests from that entry.
	restTime        = 3 * time.Second
	restGrace       = 500 * time.Millisecond
	maxRestArrivals = 2
	// applyTimeout is the time within which a configuration must be in force, stableWindow
	// after the last outage of the store. finalOutage is the length of that outage.
	applyTimeout = 2 * time.Second
	finalOutage  = 300 * time.Millisecond
	// statedLimit is the limit of a server, in requests a second.
	statedLimit = 2.0
	// crashReplacementDelay is the time from a crash until a new server replaces it.
	crashReplacementDelay = 1500 * time.Millisecond
	// firstPort and portCount are the range of the ports of the processes.
	firstPort    = 12_000
	portCount    = 20_000
	maxPortTries = 1000
	// crashingOneIn is the number of requests of which one has the crashing part.
	crashingOneIn = 8
	// plainTimeout is the timeout of the requests to plain services, and longTimeout the same
	// during a planned stop, which it exceeds.
	plainTimeout = 3 * time.Second
	longTimeout  = 8 * time.Second
	// sharedParts is the number of parts that the other prompts share.
	sharedParts = 5
)

// routes are the routes of all versions of the configuration.
var routes = []string{"note", "book", "view"}

// Options configures a run.
type Options struct {
	// Binary is the path of the program under test.
	Binary string
	// Seed determines the choice of faults and requests, but not how they interleave.
	Seed uint64
	// FaultDuration is how long faults are injected. Run then clears them, waits for
	// recovery and checks that requests are served again.
	FaultDuration time.Duration
	// WorkDir is an existing directory for the settings and logs of the processes.
	WorkDir string
	// Entries is the number of processes; 0 stands for 2 or, with an odd seed, 3.
	Entries int
}

// Report is the outcome of a run.
type Report struct {
	// Faults describes the injected faults in the order in which they started.
	Faults []string
	// Sent counts the requests with an outcome: Served ones got a response, Refused ones
	// were rejected before they ran, and Failed ones ended in any other way.
	Sent    int
	Served  int
	Refused int
	Failed  int
	// Cut counts the requests without a whole answer during planned work.
	Cut int
	// Violations describes each breach of a guarantee.
	Violations []string
	// UnservedAfterRecovery counts the requests that were refused or failed after the
	// recovery time.
	UnservedAfterRecovery int
}

// soak is the state of one run.
type soak struct {
	opts         Options
	rng          *rand.Rand
	store        *pwfakeplatform.Store
	runs         *runCounter
	entries      []*entry
	servers      map[string]*backend
	storeAddress string
	common       *conditions
	// host is the loopback address of the processes. Each run has one of its own, because a
	// process that is restarted does not hold its ports all the time.
	host       string
	takenPorts map[int]bool
	// version is the version of the newest configuration.
	version atomic.Int64

	mu             sync.Mutex
	report         Report
	serversStarted int
}

// entry is one gateway process under test.
type entry struct {
	index            int
	cmd              *exec.Cmd
	callerAddress    string
	readinessAddress string
	dir              string
	// settings is the part of the settings file that never changes.
	settings string
	exited   chan struct{}
	// planned is what is planned for the entry in calm, or nil.
	planned atomic.Pointer[plannedStop]
}

// newSoak returns a run without processes.
func newSoak(opts Options) *soak {
	if opts.Entries <= 0 {
		opts.Entries = minEntries + int(opts.Seed%2)
	}
	return &soak{
		opts:       opts,
		rng:        rand.New(rand.NewPCG(opts.Seed, 1)),
		store:      pwfakeplatform.NewStore(),
		runs:       newRunCounter(),
		servers:    make(map[string]*backend),
		common:     &conditions{},
		host:       fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)),
		takenPorts: make(map[int]bool),
	}
}

// Run starts the processes, injects the faults of one seed while callers send
// requests, and returns what it observed.
func Run(ctx context.Context, opts Options) (Report, error) {
	s := newSoak(opts)
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return s.report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runCaller(ctx, rand.New(rand.NewPCG(opts.Seed, uint64(100+i))))
		}()
	}
	s.common.onCrash = func(b *backend) { s.replaceCrashed(ctx, b) }
	oldCopy := s.store.Copy()
	s.putConfiguration(plainTimeout)
	s.injectFaults(ctx)
	s.clearFaults()
	s.restoreStore(ctx, oldCopy, finalOutage)
	calmFrom := time.Now()
	s.server(0).setLimit(statedLimit)
	s.server(1).setLeaving()
	s.server(2).setRest(restTime)
	sleep(ctx, stableWindow)
	s.putConfiguration(plainTimeout)
	sleep(ctx, applyTimeout)
	s.checkConfiguration(ctx)
	sleep(ctx, time.Until(calmFrom.Add(recoveryTime)))
	s.checkBounds(calmFrom)
	s.mu.Lock()
	before := s.report
	s.mu.Unlock()
	sleep(ctx, 2*time.Second)
	s.mu.Lock()
	after := s.report
	s.mu.Unlock()
	s.checkPlannedWork(ctx)
	cancel()
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.UnservedAfterRecovery = after.Refused + after.Failed - before.Refused - before.Failed
	return s.report, nil
}

// checkBounds checks after the recovery what the processes together send to a server
// that states a limit and, if it has crashed enough servers, under the crashing part, and
// what each of them sends to servers that leave or rest.
func (s *soak) checkBounds(calmFrom time.Time) {
	if n := s.server(0).arrivedSince(time.Now().Add(-limitWindow)); float64(n) > limitFactor*statedLimit*limitWindow.Seconds()+limitSlack {
		s.recordViolation("a server that states a limit of %g a second got %d requests in %s", statedLimit, n, limitWindow)
	}
	if late, _ := s.server(1).breaches(); late > 0 {
		s.recordViolation("a server that had stated that it leaves got %d requests from an entry later than %s after", late, drainTimeout)
	}
	if _, early := s.server(2).breaches(); early > maxRestArrivals {
		s.recordViolation("a server that had asked for %s of rest got %d requests from an entry within it", restTime, early)
	}
	from := calmFrom.Add(stableWindow)
	if n := s.common.reachedSince(from); n > maxLaterRequests && s.common.reachedSince(time.Time{})-n >= 5 {
		s.recordViolation("%d requests with part %q reached servers after it had crashed five", n, s.common.part())
	}
}

// replaceCrashed lists a new server in the place of one that crashed under the crashing
// part.
func (s *soak) replaceCrashed(ctx context.Context, b *backend) {
	go func() {
		sleep(ctx, crashReplacementDelay)
		s.store.Put("servers", b.id, nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		for slot, current := range s.servers {
			if current != b || ctx.Err() != nil {
				continue
			}
			i, err := strconv.Atoi(slot)
			if err == nil {
				err = s.addServer(ctx, i)
			}
			if err != nil {
				s.report.Violations = append(s.report.Violations, fmt.Sprintf("failed to replace backend server %s: %v", slot, err))
			}
		}
	}()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// start serves the platform's store, starts the backend servers and the entries, and
// waits until all entries are ready.
func (s *soak) start(ctx context.Context) error {
	lis, err := listen(ctx)
	if err != nil {
		return err
	}
	s.storeAddress = lis.Addr().String()
	srv := &http.Server{
		Handler:           s.store,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		// Serve always returns an error; here it returns after a deliberate close.
		_ = srv.Serve(lis)
	}()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	s.putConfiguration(plainTimeout)
	for i := range modelServers + deskServers {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.opts.Entries {
		e := &entry{
			index: i,
			dir:   filepath.Join(s.opts.WorkDir, fmt.Sprintf("entry-%d", i)),
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
		if err := e.awaitReady(ctx, startupTimeout); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a new backend server in slot i. The first modelServers slots belong
// to the "model" service, the others to "desk".
func (s *soak) addServer(ctx context.Context, i int) error {
	service := "model"
	if i >= modelServers {
		service = "desk"
	}
	s.serversStarted++
	b, err := startBackend(ctx, fmt.Sprintf("i-%s-%d-%d", service, i, s.serversStarted), service, "a", s.runs, s.store, s.common)
	if err != nil {
		return err
	}
	s.servers[fmt.Sprint(i)] = b
	return nil
}

// freePorts returns n ports that are free for TCP and UDP. They are below the range from
// which the kernel takes the ports of outgoing connections, which would collide with them.
func (s *soak) freePorts(ctx context.Context, n int) ([]int, error) {
	var ports []int
	for range maxPortTries {
		port := firstPort + rand.IntN(portCount)
		if s.takenPorts[port] || !isPortFree(ctx, s.address(port)) {
			continue
		}
		s.takenPorts[port] = true
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports found in %d tries", n, maxPortTries)
}

// address returns the address of a port of the processes.
func (s *soak) address(port int) string { return net.JoinHostPort(s.host, strconv.Itoa(port)) }

func isPortFree(ctx context.Context, address string) bool {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// partsTuning turns on the parts that are off by default.
const partsTuning = `{"overload": {}, "uneven_demand": {}}`

// startEntry starts the process of an entry. The first start also chooses the ports and
// writes the settings file, which a restart reuses.
func (s *soak) startEntry(ctx context.Context, e *entry) error {
	if e.callerAddress == "" {
		ports, err := s.freePorts(ctx, 3)
		if err != nil {
			return err
		}
		e.callerAddress, e.readinessAddress = s.address(ports[0]), s.address(ports[1])
		e.settings = fmt.Sprintf("node=entry-%d\nzone=a\nip-address=%s\nlisten-addresses.front=%s\nlisten-addresses.ready=%s\n"+
			"internal-ports=%d,%d\nplatform.address=%s\nlimits.memory-mb=256\n",
			e.index, s.host, e.callerAddress, e.readinessAddress, ports[2], ports[2], s.storeAddress)
		if err := e.writeSettings(shutdownGrace, drainTimeout); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(e.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := []string{"gateway", "--settings", filepath.Join(e.dir, "settings.conf")}
	if e.index%2 == 0 {
		// Processes with and without these parts must get along with each other.
		tuning := filepath.Join(e.dir, "tuning.json")
		if err := os.WriteFile(tuning, []byte(partsTuning), 0o600); err != nil {
			return err
		}
		args = append(args, "--tuning", tuning)
	}
	// The process must outlive ctx, whose end only stops the faults and callers.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), s.opts.Binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.cmd, e.exited = cmd, done
	go func() {
		// The exit status is ignored, because the process is stopped by signals.
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// writeSettings replaces the settings file.
func (e *entry) writeSettings(grace, drain time.Duration) error {
	path := filepath.Join(e.dir, "settings.conf")
	content := e.settings + fmt.Sprintf("bounds.grace-s=%d\nbounds.drain-ms=%d\n", int(grace.Seconds()), drain.Milliseconds())
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// isReady queries the process's readiness endpoint.
func (e *entry) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readinessAddress+"/v1/readiness", nil)
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

// stop kills all processes and stops the backend servers.
func (s *soak) stop() {
	for _, e := range s.entries {
		if e.cmd != nil {
			// The process may have ended already. SIGCONT wakes one that is frozen.
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	for _, b := range s.servers {
		b.crash()
	}
}

// injectFaults starts a random fault every 200 to 900 ms for the fault duration. Faults
// may overlap. It returns when the last one has ended.
func (s *soak) injectFaults(ctx context.Context) {
	end := time.Now().Add(s.opts.FaultDuration)
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(end) && ctx.Err() == nil {
		name, f := s.pickFault()
		s.mu.Lock()
		s.report.Faults = append(s.report.Faults, name)
		s.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
		sleep(ctx, time.Duration(200+s.rng.IntN(700))*time.Millisecond)
	}
}

// pickFault returns the description of a random fault and the function that injects it.
func (s *soak) pickFault() (string, func(context.Context)) {
	e := s.entries[s.rng.IntN(len(s.entries))]
	i := s.rng.IntN(modelServers + deskServers)
	pause := time.Duration(300+s.rng.IntN(1500)) * time.Millisecond
	switch s.rng.IntN(23) {
	case 22:
		return fmt.Sprintf("server %d asks for rest for %s", i, pause), func(ctx context.Context) {
			b := s.server(i)
			b.setRest(restTime)
			sleep(ctx, pause)
			b.setRest(0)
		}
	case 21:
		away := pause / 4
		return fmt.Sprintf("store away for %s, back from a copy %s old", away, pause), func(ctx context.Context) {
			c := s.store.Copy()
			sleep(ctx, pause)
			s.restoreStore(ctx, c, away)
		}
	case 18:
		part := fmt.Sprintf("bad%d", s.rng.IntN(1000))
		return fmt.Sprintf("servers crash under part %s", part), func(context.Context) { s.common.setCrashingPart(part) }
	case 19:
		signals := make([]syscall.Signal, 3+s.rng.IntN(4))
		for i := range signals {
			signals[i] = []syscall.Signal{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGTERM, syscall.SIGKILL}[s.rng.IntN(5)]
		}
		return fmt.Sprintf("signals %v to entry %d", signals, e.index), func(ctx context.Context) { s.signalSeries(ctx, e, signals) }
	case 20:
		return fmt.Sprintf("server %d states a limit for %s", i, pause), func(ctx context.Context) {
			b := s.server(i)
			b.setLimit(statedLimit)
			sleep(ctx, pause)
			b.setLimit(0)
		}
	case 0:
		return fmt.Sprintf("kill entry %d", e.index), func(ctx context.Context) { s.restartEntry(ctx, e, syscall.SIGKILL, disturbedGrace) }
	case 1:
		return fmt.Sprintf("stop entry %d", e.index), func(ctx context.Context) { s.restartEntry(ctx, e, syscall.SIGTERM, disturbedGrace) }
	case 2:
		return fmt.Sprintf("freeze entry %d for %s", e.index, pause), func(ctx context.Context) { s.freezeEntry(ctx, e, pause) }
	case 3:
		return fmt.Sprintf("reload entry %d", e.index), func(context.Context) { s.signalEntry(e, syscall.SIGHUP) }
	case 4:
		return "store busy for " + pause.String(), func(ctx context.Context) { s.injectStoreFault(ctx, "busy", pause) }
	case 5:
		return "store silent for " + pause.String(), func(ctx context.Context) { s.injectStoreFault(ctx, "silent", pause) }
	case 6:
		return "store compacts its history", func(context.Context) { s.store.Compact() }
	case 7:
		return fmt.Sprintf("replace server %d after a crash", i), func(ctx context.Context) { s.replaceServer(ctx, i, true) }
	case 8:
		return fmt.Sprintf("replace server %d after draining", i), func(ctx context.Context) { s.replaceServer(ctx, i, false) }
	case 11:
		return "store slow for " + pause.String(), func(ctx context.Context) { s.injectStoreFault(ctx, pwfakeplatform.StoreFaultSlow, pause) }
	case 12:
		return "store drops answers for " + pause.String(), func(ctx context.Context) { s.injectStoreFault(ctx, pwfakeplatform.StoreFaultLostResponse, pause) }
	case 13:
		return "store truncates answers for " + pause.String(), func(ctx context.Context) { s.injectStoreFault(ctx, pwfakeplatform.StoreFaultTruncatedResponse, pause) }
	case 14:
		off := time.Duration(s.rng.IntN(7200)-3600) * time.Second
		return "store's clock off by " + off.String(), func(ctx context.Context) {
			s.store.SetClockOffset(off)
			sleep(ctx, pause)
			s.store.SetClockOffset(0)
		}
	case 15:
		return "unreadable rows among servers and instances", func(context.Context) {
			s.store.PutInvalidRow("servers", "i-foreign")
			s.store.PutInvalidRow("pomeloweir-instances", "foreign")
		}
	case 17:
		return fmt.Sprintf("server %d sends without an end for %s", i, pause), func(ctx context.Context) { s.sendWithoutEnd(ctx, s.server(i), pause) }
	case 16:
		return "configuration unreadable for " + pause.String(), func(ctx context.Context) { s.corruptConfiguration(ctx, pause) }
	case 9:
		return fmt.Sprintf("reset connections of server %d for %s", i, pause), func(ctx context.Context) {
			for end := time.Now().Add(pause); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, resetInterval) {
				s.server(i).proxy.resetConns()
			}
		}
	default:
		return fmt.Sprintf("stall connections of server %d for %s", i, pause), func(ctx context.Context) {
			p := s.server(i).proxy
			p.setStalled(true)
			sleep(ctx, pause)
			p.setStalled(false)
		}
	}
}

// maxEndlessBytes bounds what an entry may take of a response head without an end,
// together with the buffers of a loopback connection.
const maxEndlessBytes = 16 << 20

// sendWithoutEnd makes a backend server answer with a head without an end.
func (s *soak) sendWithoutEnd(ctx context.Context, b *backend, pause time.Duration) {
	b.proxy.setEndless(true)
	sleep(ctx, pause)
	b.proxy.setEndless(false)
	if n := b.proxy.takenEndless(); n > maxEndlessBytes {
		s.recordViolation("%d bytes of a response head without an end were taken from %s, allowed are %d", n, b.id, maxEndlessBytes)
	}
}

func (s *soak) server(i int) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[fmt.Sprint(i)]
}

func (s *soak) signalEntry(e *entry, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The process may have ended already.
	_ = e.cmd.Process.Signal(sig)
}

// restartEntry sends sig to the entry's process, waits for its end and starts a new one.
// A process that outlives the grace period is a violation and is killed. If two faults
// restart the entry at the same time, only one of them starts the new process.
func (s *soak) restartEntry(ctx context.Context, e *entry, sig syscall.Signal, grace time.Duration) {
	s.mu.Lock()
	done := e.exited
	s.mu.Unlock()
	s.signalEntry(e, sig)
	select {
	case <-done:
	case <-time.After(grace):
		s.signalEntry(e, syscall.SIGKILL)
		s.recordViolation("entry %d is still running %s after signal %q", e.index, grace, sig)
		<-done
	case <-ctx.Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.exited == done {
		if err := s.startEntry(ctx, e); err != nil {
			s.report.Violations = append(s.report.Violations, err.Error())
		}
	}
}

// signalSeries sends signals at short intervals, so that their effects overlap, and
// restarts the process if they end it.
func (s *soak) signalSeries(ctx context.Context, e *entry, signals []syscall.Signal) {
	const interval = 120 * time.Millisecond
	ends := false
	for _, sig := range signals {
		ends = ends || sig == syscall.SIGTERM || sig == syscall.SIGKILL
		s.signalEntry(e, sig)
		sleep(ctx, interval)
	}
	s.signalEntry(e, syscall.SIGCONT)
	if ends {
		s.restartEntry(ctx, e, syscall.SIGTERM, disturbedGrace)
	}
}

func (s *soak) freezeEntry(ctx context.Context, e *entry, pause time.Duration) {
	s.signalEntry(e, syscall.SIGSTOP)
	sleep(ctx, pause)
	s.signalEntry(e, syscall.SIGCONT)
}

func (s *soak) injectStoreFault(ctx context.Context, fault pwfakeplatform.StoreFault, pause time.Duration) {
	s.store.SetFault(fault)
	sleep(ctx, pause)
	s.store.SetFault("")
}

// restoreStore makes the store come back from a copy, after it was away. The operators and
// the servers write what was lost again.
func (s *soak) restoreStore(ctx context.Context, c pwfakeplatform.StoreCopy, away time.Duration) {
	s.store.SetFault(pwfakeplatform.StoreFaultBusy)
	sleep(ctx, away)
	lost := s.store.Restore(c)
	s.store.SetFault("")
	sleep(ctx, away)
	s.store.WriteAgain("op", lost, c)
	s.store.WriteAgain("servers", lost, c)
}

// checkConfiguration checks that all processes serve the route that only the newest
// configuration has, which was written applyTimeout ago, after the store had come back from
// a copy made before all faults.
func (s *soak) checkConfiguration(ctx context.Context) {
	route := versionRoute(s.version.Load())
	for _, e := range s.entries {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.callerAddress+"/"+route+"/x", nil)
		if err != nil {
			s.recordViolation("failed to build a request to route %q: %v", route, err)
			return
		}
		r.Host = "soak.example"
		r.Header.Set("X-Attempt-Id", fmt.Sprint("config-", e.index))
		r.Header.Set("X-Deadline-Milliseconds", "3000")
		if status, _, err := roundTrip(http.DefaultClient, r); err != nil || status != http.StatusOK {
			s.recordViolation("entry %d responds with status %d (%v) on the route of the newest configuration", e.index, status, err)
		}
	}
}

// putConfiguration writes a new version of the configuration, which drops a route of the one
// before.
func (s *soak) putConfiguration(timeout time.Duration) {
	s.store.Put("op", "config", configuration(s.version.Add(1), timeout))
}

// corruptConfiguration makes the operators' configuration row unreadable and, after
// the pause, writes a newer version. Until then the previous configuration stays in
// force.
func (s *soak) corruptConfiguration(ctx context.Context, pause time.Duration) {
	s.store.PutInvalidRow("op", "config")
	sleep(ctx, pause)
	s.putConfiguration(plainTimeout)
}

// replaceServer starts a new server in slot i and removes the old one, which either
// crashes at once or drains first.
func (s *soak) replaceServer(ctx context.Context, i int, crash bool) {
	s.mu.Lock()
	replaced := s.servers[fmt.Sprint(i)]
	err := s.addServer(ctx, i)
	s.mu.Unlock()
	if err != nil {
		s.recordViolation("failed to start backend server %d: %v", i, err)
		return
	}
	if crash {
		replaced.crash()
		sleep(ctx, time.Second)
	} else {
		replaced.startDraining()
		sleep(ctx, 3*time.Second)
		replaced.crash()
	}
	s.store.Put("servers", replaced.id, nil)
}

// clearFaults ends the faults of the store, the entries and the proxies.
func (s *soak) clearFaults() {
	s.store.SetFault("")
	s.store.SetClockOffset(0)
	for _, e := range s.entries {
		s.signalEntry(e, syscall.SIGCONT)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.servers {
		b.proxy.setStalled(false)
	}
}

func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}

// runCaller sends requests one after the other. It chooses an entry that is ready, and
// keeps to it and its connections, whether it is ready or not, for some requests or until
// the entry answers no more.
func (s *soak) runCaller(ctx context.Context, rng *rand.Rand) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
	}
	for ctx.Err() == nil {
		e := s.entries[rng.IntN(len(s.entries))]
		if !e.isReady(ctx) {
			sleep(ctx, 20*time.Millisecond)
			continue
		}
		for range 1 + rng.IntN(40) {
			route := routes[rng.IntN(len(routes))]
			id := fmt.Sprintf("%016x", rng.Uint64())
			parts := []string{fmt.Sprint("shared", rng.IntN(sharedParts)), "own" + id}
			if part := s.common.part(); part != "" && route == "note" && rng.IntN(crashingOneIn) == 0 {
				parts = slices.Insert(parts, 1, part)
			}
			if !s.sendRequest(ctx, client, e, route, id, parts) || ctx.Err() != nil {
				break
			}
			sleep(ctx, time.Duration(rng.IntN(20))*time.Millisecond)
		}
	}
}

// sendRequest sends one request on a route, with these parts in its prompt, and checks
// its response. It reports whether there was one.
func (s *soak) sendRequest(ctx context.Context, client *http.Client, e *entry, route, id string, parts []string) bool {
	ctx, cancel := context.WithTimeout(ctx, 9*time.Second)
	defer cancel()
	method, body := http.MethodPost, "body of "+id
	if route == "view" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callerAddress+"/"+route+"/x", strings.NewReader(body))
	if err != nil {
		s.recordViolation("failed to build a request to route %q: %v", route, err)
		return false
	}
	r.Host = "soak.example"
	// Without GetBody, net/http does not retry the request by itself.
	r.GetBody = nil
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Milliseconds", "8000")
	if route == "note" {
		r.Header.Set("X-Token-Counts", "3000,100")
		r.Header.Set("X-Prompt-Prefix", strings.Join(parts, ":40,")+":40")
	}
	s.runs.recordOrigin(id, e.index)
	sentAt := time.Now()
	status, got, err := roundTrip(client, r)
	if ctx.Err() != nil {
		return false
	}
	if p := e.planned.Load(); p != nil {
		p.checkAnswered(r.URL.Path, id, status, sentAt, sentAt, err)
	}
	// Requests with the crashing part are not missed, so their outcome does not count.
	s.checkResponse(r.URL.Path, id, body, status, got, err, len(parts) == 2)
	return err == nil
}

// roundTrip returns the status and body of the response. If reading the body fails, it
// returns what was read, with the error.
func roundTrip(client *http.Client, r *http.Request) (int, string, error) {
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// checkResponse counts the outcome of a request, and records a violation if the response
// contradicts the request or the runs at the backend servers. The outcome counts only if
// missed is set.
func (s *soak) checkResponse(path, id, body string, status int, got string, err error, missed bool) {
	runs := s.runs.count(id)
	route := strings.Split(path, "/")[1]
	want := fmt.Sprintf("%s %s %s", id, path, body)
	if route == "note" {
		var b strings.Builder
		for i := range lastNumber(path, streamEvents) {
			b.WriteString(event(path, id, i+1))
		}
		want = b.String()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := &s.report
	if !missed {
		report = &Report{}
	}
	report.Sent++
	addViolation := func(format string, args ...any) {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%s %s: ", route, id)+fmt.Sprintf(format, args...))
	}
	if route == "book" && runs > 1 {
		addViolation("ran %d times, want at most once", runs)
	}
	switch {
	case err != nil:
		report.Failed++
		if status == http.StatusOK && !strings.HasPrefix(want, got) {
			addViolation("incomplete answer %.500q is not a prefix of %.500q", got, want)
		}
	case status == http.StatusOK:
		report.Served++
		if got != want {
			addViolation("answered with %.500q (%d bytes), want %.500q (%d bytes)", got, len(got), want, len(want))
		}
		if runs == 0 {
			addViolation("was answered, but no backend server ran it")
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		report.Refused++
		if runs > 0 {
			addViolation("was refused as not run, but ran %d times", runs)
		}
	default:
		report.Failed++
		// The route of one version may not be in force.
		if status < 500 && (status != http.StatusNotFound || slices.Contains(routes, route)) {
			addViolation("answered with unexpected status %d", status)
		}
	}
}
