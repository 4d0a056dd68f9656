package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// gateway is a process of the system under test.
type gateway struct {
	name, host, front, ready string
	dir                      string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

var (
	gatewaysMu sync.Mutex
	gateways   []*gateway
)

// host is the loopback address of the processes of one run.
func loopbackHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
}

func freePort(host string) int {
	for range 200 {
		p := 12000 + rand.IntN(18000)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, p))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", host, p))
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return p
	}
	fatal("no free port")
	return 0
}

// newGateway writes the settings of a process, which are those of a small deployment.
func newGateway(tmp, name, zone, storeAddr string) *gateway {
	g := &gateway{name: name, host: loopbackHost(), dir: filepath.Join(tmp, name)}
	if err := os.MkdirAll(g.dir, 0o755); err != nil {
		fatal("%v", err)
	}
	g.front = fmt.Sprintf("%s:%d", g.host, freePort(g.host))
	g.ready = fmt.Sprintf("%s:%d", g.host, freePort(g.host))
	p := freePort(g.host)
	settings := fmt.Sprintf(`node=%s
role=entry
machine-class=front
serves=front
ip-address=%s
zone=%s
region=scl
zones.scl-a=scl
zones.scl-b=scl
zones.scl-c=scl
listen-addresses.front=%s
listen-addresses.ready=%s
internal-ports=%d,%d
seeds=
bootstrap=true
limits.cpu-share=0.304
limits.cores=1
limits.memory-mb=284
limits.file-descriptors=4100
limits.link-mbps=1000.0
discovery=platform
entry=virtual_ip
heartbeat-interval-ms=1200
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
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=100
bounds.cold-overage=1.5
bounds.cold-slack=5
bounds.evacuation-ms=5000
bounds.recovery-s=12
bounds.pass-ms=120
bounds.stall_ms=1500
bounds.hold-max-ms=20000
bounds.free-ms=4000
bounds.idle-max-ms=9000
platform.address=%s
platform.form=table
platform.writes-per-s=400
platform.reads-per-s=2000
platform.transaction-ms=3.0
platform.part-writes-per-s=300
platform.row-bytes=65536
platform.across=true
platform.history-s=20
`, name, g.host, zone, g.front, g.ready, p, p+1, storeAddr)
	if err := os.WriteFile(filepath.Join(g.dir, "settings.conf"), []byte(settings), 0o600); err != nil {
		fatal("%v", err)
	}
	gatewaysMu.Lock()
	gateways = append(gateways, g)
	gatewaysMu.Unlock()
	return g
}

// start starts the process with the command of deploy/system.toml, in the root of the
// repository.
func (g *gateway) start() {
	bin := os.Getenv("POMELOWEIR_BINARY")
	if bin == "" {
		bin = "target/pomeloweir"
	}
	log, err := os.OpenFile(filepath.Join(g.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	g.cmd = exec.Command(bin, "gateway", "--tuning", "deploy/gateway.json")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "POMELOWEIR_CONFIG=" + filepath.Join(g.dir, "settings.conf")}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		fatal("starting %s: %v", g.name, err)
	}
	done := make(chan struct{})
	g.done = done
	go func(c *exec.Cmd) { _ = c.Wait(); _ = log.Close(); close(done) }(g.cmd)
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

func (g *gateway) awaitReady() {
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	fatal("%s is not ready", g.name)
}

// stopAll kills the processes that this run has started.
func stopAll() {
	gatewaysMu.Lock()
	defer gatewaysMu.Unlock()
	for _, g := range gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Kill()
			<-g.done
		}
	}
}
