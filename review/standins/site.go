package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the milliseconds since
// the start of the script.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, start: time.Now()}, err
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%7d ms  %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// front is a gateway, started with the command of deploy/system.toml.
type front struct {
	name, callers, ready string
	cmd                  *exec.Cmd
	dir                  string
	exited               chan struct{}
}

// settingsFormat holds the settings of a small deployment, as DEPLOY.md lists them.
const settingsFormat = `node=%[1]s
role=entry
machine-class=front
serves=front
ip-address=127.0.0.1
zone=%[2]s
region=kyushu
zones.hakata=kyushu
zones.dazaifu=kyushu
zones.kurume=kyushu
listen-addresses.front=%[3]s
listen-addresses.ready=%[4]s
internal-ports=%[5]d,%[5]d
seeds=
bootstrap=true
counts-toward-tolerance=false
limits.cpu-share=0.304
limits.cores=1
limits.memory-mb=284
limits.file-descriptors=4200
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=virtual_ip
heartbeat-interval-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans
tolerance.machines=1
tolerance.zones=1
tolerance.regions=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.stable-window-ms=3000
bounds.acknowledge-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.configuration-apply-ms=2000
bounds.downgrade-slack-ms=250
bounds.outer-bound-ms=5000
bounds.strict-revocation=false
bounds.revocation-ms=5000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=102
bounds.cold-overage=1.5
bounds.cold-slack=5
bounds.evacuation-ms=5000
bounds.recovery-s=12
bounds.pass-ms=120
bounds.retry-after-s=0
bounds.stall_ms=1500
bounds.hold-max-ms=20000
bounds.free-ms=4000
bounds.idle-max-ms=9000
platform.address=%[6]s
platform.form=table
platform.writes-per-s=400
platform.reads-per-s=2000
platform.transaction-ms=3.0
platform.part-writes-per-s=300
platform.row-bytes=65536
platform.across=true
platform.history-s=20
platform.blob-bytes=8388608
platform.blob-ms=25.0
platform.blob-mb-per-s=80.0
`

// firstPort and portCount are the range of the gateways' ports, below the one from which the
// kernel takes the ports of outgoing connections.
const (
	firstPort = 12_000
	portCount = 20_000
	// launchTries is how often a gateway is started with other ports, because another program
	// may take one in the meantime.
	launchTries = 5
)

// freePort returns a port that is free for TCP and UDP.
func freePort() (int, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return l.Addr().(*net.TCPAddr).Port, nil
		}
	}
	return 0, fmt.Errorf("no free port found")
}

// newFront writes the settings of a gateway, starts it and waits until it is ready.
func newFront(dir, name, zone, storeAddress string) (*front, error) {
	f := &front{
		name: name,
		dir:  dir,
	}
	var err error
	for range launchTries {
		var ports [3]int
		for i := range ports {
			if ports[i], err = freePort(); err != nil {
				return nil, err
			}
		}
		f.callers, f.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
		settings := fmt.Sprintf(settingsFormat, name, zone, f.callers, f.ready, ports[2], storeAddress)
		if err = os.WriteFile(f.settings(), []byte(settings), 0o600); err != nil {
			return nil, err
		}
		if err = f.launch(); err != nil {
			return nil, err
		}
		if err = f.awaitReady(5 * time.Second); err == nil {
			return f, nil
		}
		f.stop()
	}
	return nil, err
}

func (f *front) settings() string { return filepath.Join(f.dir, f.name+".conf") }

// started holds the processes that run.
var (
	startedMu sync.Mutex
	started   = make(map[*exec.Cmd]bool)
	// ending is set once the script ends and starts no more processes.
	ending bool
)

// stopAll ends the processes that still run.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	ending = true
	for cmd := range started {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
}

// launch starts the process in the repository's root, with the command of the deploy file.
func (f *front) launch() error {
	log, err := os.OpenFile(filepath.Join(f.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/pomeloweir", "gateway", "--tuning", "deploy/gateway.json")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOWEIR_CONFIG=" + f.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	startedMu.Lock()
	defer startedMu.Unlock()
	if ending {
		_ = log.Close()
		return fmt.Errorf("the script ends")
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	f.cmd, f.exited = cmd, make(chan struct{})
	started[cmd] = true
	go func(done chan struct{}) {
		_ = cmd.Wait()
		startedMu.Lock()
		delete(started, cmd)
		startedMu.Unlock()
		_ = log.Close()
		close(done)
	}(f.exited)
	return nil
}

func (f *front) signal(s syscall.Signal) { _ = f.cmd.Process.Signal(s) }

// awaitReady waits until the gateway reports that it is ready.
func (f *front) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.ready+"/v1/readiness", nil)
		if err != nil {
			cancel()
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		cancel()
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-f.exited:
			return fmt.Errorf("%s has ended", f.name)
		default:
		}
	}
	return fmt.Errorf("%s is not ready after %s", f.name, within)
}

// stop ends the process.
func (f *front) stop() {
	if f.cmd == nil {
		return
	}
	f.signal(syscall.SIGCONT)
	f.signal(syscall.SIGKILL)
	<-f.exited
}
