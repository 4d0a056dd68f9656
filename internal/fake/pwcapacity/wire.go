package pwcapacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeer"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// byteCounter counts the bytes of connections in both directions, without the TCP and IP
// headers.
type byteCounter struct {
	bytes atomic.Int64
}

type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{
		Conn:    c,
		counter: l.counter,
	}, nil
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// serveLoopback serves a handler on loopback until stop is called, and counts the bytes of
// its connections.
func serveLoopback(ctx context.Context, h http.Handler, counter *byteCounter) (address string, stop func(), err error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := pwtransport.NewServer(h, nil)
	go func() {
		_ = pwtransport.Serve(s, &countingListener{
			Listener: l,
			counter:  counter,
		})
	}()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

// reportingAgent sends load reports at a fixed rate, like an agent whose load changes all
// the time.
type reportingAgent struct {
	pwrpc.UnimplementedAgentServiceHandler
	index     int
	sentCount *atomic.Int64
}

// WatchLoad implements pwrpc.AgentServiceHandler.
func (a *reportingAgent) WatchLoad(ctx context.Context, _ *connect.Request[pwrpc.WatchLoadRequest], s *connect.ServerStream[pwrpc.LoadReport]) error {
	t := time.NewTicker(time.Second / measuredReportRate)
	defer t.Stop()
	for {
		if err := s.Send(newLoadReport(a.index, time.Now())); err != nil {
			return err
		}
		a.sentCount.Add(1)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// measuredReportRate is the rate of load reports of one agent while their cost is
// measured. It is higher than in operation, so that a short window contains enough reports.
const measuredReportRate = 5

// handlerVariants are the handler options of the processes, and the defaults of connect-go,
// which compress every message.
var handlerVariants = []struct {
	suffix string
	opts   []connect.HandlerOption
}{
	{"", []connect.HandlerOption{pwrpc.HandlerOptions(maxMessage)}},
	{"_compressed", nil},
}

// maxMessage exceeds the size of every measured message.
const maxMessage = 16 << 20

// measureWatches measures an entry that watches reporting agents on loopback, and the size
// of a load report.
func measureWatches(ctx context.Context, m *meter) error {
	window := 2 * time.Second
	if m.quick {
		window = 400 * time.Millisecond
	}
	for _, n := range m.sizes([]int{8, 16, 32}, []int{24, 48, 96, 192}) {
		for _, v := range handlerVariants {
			if err := measureWatch(ctx, m, n, window, v.suffix, v.opts...); err != nil {
				return fmt.Errorf("watches: %w", err)
			}
		}
	}
	r := newLoadReport(1, time.Now())
	for _, n := range []int{1, 4, 14} {
		r.Models = nil
		for i := range n {
			r.Models = append(r.Models, fmt.Sprintf("%s-%d", modelName, i))
		}
		m.addPoint("bytes.report_message", "models of the server", "B a report", float64(n), float64(proto.Size(r)))
		m.addPoint("bytes.varying_report", "models of the server", "B a report", float64(n), float64(proto.Size(varyingReport(r))))
	}
	return nil
}

// measureWatch measures an entry that watches n agents whose handlers have the given
// options.
func measureWatch(ctx context.Context, m *meter, n int, window time.Duration, suffix string, opts ...connect.HandlerOption) error {
	before := liveBytes()
	counter, sentCount := &byteCounter{}, &atomic.Int64{}
	var addresses []string
	for i := range n {
		mux := http.NewServeMux()
		mux.Handle(pwrpc.NewAgentServiceHandler(&reportingAgent{
			index:     i,
			sentCount: sentCount,
		}, opts...))
		a, stop, err := serveLoopback(ctx, mux, counter)
		if err != nil {
			return err
		}
		defer stop()
		addresses = append(addresses, a)
	}
	client := pwtransport.NewClient(nil)
	defer client.CloseIdleConnections()
	e := pwentry.New(pwentry.Config{
		Instance:   entryName(0),
		DataCentre: dataCentreName(0),
		SubsetSize: n,
		Seed:       1,
	}, pwentry.Deps{
		Agents:   pwentry.NewConnectDialer(client, "http", connect.WithGRPC()),
		Observer: newObserver(),
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.Run(ctx)
	e.SetInstances(agentInstances(n, func(i int) string { return addresses[i] }))
	if err := await(ctx, func() bool { return e.ReportingServerCount() == n }); err != nil {
		return err
	}
	m.addPoint("memory.watch"+suffix, "agents on loopback, both ends", "B", float64(n), liveBytes()-before)
	bytesBefore, messagesBefore, start, processorBefore := counter.bytes.Load(), sentCount.Load(), time.Now(), processorTime()
	time.Sleep(window)
	seconds := time.Since(start).Seconds()
	rate := float64(sentCount.Load()-messagesBefore) / seconds
	m.addPoint("messages.watch"+suffix, "watched agents", "reports/s", float64(n), rate)
	m.addPoint("bytes.watch"+suffix, "reports a second", "B/s", rate, float64(counter.bytes.Load()-bytesBefore)/seconds)
	m.addPoint("cpu.watch"+suffix, "reports a second, both ends", "us/s", rate, float64((processorTime()-processorBefore).Microseconds())/seconds)
	return nil
}

// newNode returns a gossip node with an empty table.
func newNode(id pwrequest.InstanceID, d pwgossip.Dialer) (*pwgossip.Node, error) {
	if d == nil {
		d = pwpeer.NewDialer(http.DefaultClient, "http")
	}
	return pwgossip.New(pwgossip.Options{
		Self: pwinstance.Instance{
			ID:         id,
			DataCentre: dataCentreName(0),
		},
		Log:       pwchange.NewLog(pwfakeplatform.NewTable()),
		Instances: singleInstanceList{},
		Dialer:    d,
		Seed:      1,
	})
}

// singleInstanceList is an instance list that contains one other process.
type singleInstanceList struct{}

// Instances implements pwgossip.Instances.
func (singleInstanceList) Instances(context.Context) ([]pwinstance.Instance, error) {
	return []pwinstance.Instance{{
		ID:         "full",
		DataCentre: dataCentreName(0),
		Address:    "full",
		Role:       pwinstance.RoleEntry,
	}}, nil
}

// encodingPeer calls a node in the same process with encoded and decoded messages, without
// a network.
type encodingPeer struct {
	node *pwgossip.Node
}

// Peer implements pwgossip.Dialer.
func (p encodingPeer) Peer(pwinstance.Instance) pwgossip.Peer { return p }

// Exchange implements pwgossip.Peer.
func (p encodingPeer) Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	data, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	in := &pwrpc.ExchangeRequest{}
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, err
	}
	resp, err := p.node.HandleExchange(ctx, in)
	if err != nil {
		return nil, err
	}
	if data, err = proto.Marshal(resp); err != nil {
		return nil, err
	}
	out := &pwrpc.ExchangeResponse{}
	return out, proto.Unmarshal(data, out)
}

// measureExchange measures one comparison of digests, the first synchronisation of a
// process without state, and the synchronisation of a process that lacks an old change.
func measureExchange(ctx context.Context, m *meter) error {
	for _, n := range m.sizes([]int{100, 500, 1_000}, []int{100, 1_000, 8_000}) {
		fullNode, err := newNode("full", nil)
		if err != nil {
			return err
		}
		var changes []pwchange.Change
		for i := range n {
			changes = append(changes, newMarkChange(i))
		}
		fullNode.Publish(changes...)
		if err := measureComparison(ctx, m, fullNode, float64(n)); err != nil {
			return fmt.Errorf("exchange: %w", err)
		}
		if err := measureCatchUp(ctx, m, fullNode, "first_sync", nil, n); err != nil {
			return fmt.Errorf("first synchronisation: %w", err)
		}
		// A process without the oldest change has the same head, so all sequence
		// numbers are compared.
		if err := measureCatchUp(ctx, m, fullNode, "gap", changes[1:], n); err != nil {
			return fmt.Errorf("gap: %w", err)
		}
	}
	return measureEngineCheck(ctx, m)
}

// measureCatchUp starts a node with the known changes and waits until it has received all
// n changes of fullNode.
func measureCatchUp(ctx context.Context, m *meter, fullNode *pwgossip.Node, name string, known []pwchange.Change, n int) error {
	node, err := newNode("behind", encodingPeer{fullNode})
	if err != nil {
		return err
	}
	node.Publish(known...)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := processorTime()
	go node.Run(ctx)
	if err := await(ctx, func() bool { return node.Status().Keys == n }); err != nil {
		return err
	}
	s := node.Stats()
	m.addPoint("cpu."+name, "known keys, both ends", "us", float64(n), float64((processorTime() - start).Microseconds()))
	m.addPoint("bytes."+name, "known keys", "B", float64(n), float64(s.SentBytes+s.ReceivedBytes))
	return nil
}

// measureComparison measures the comparison of equal digests in memory and over loopback.
func measureComparison(ctx context.Context, m *meter, fullNode *pwgossip.Node, x float64) error {
	first, err := fullNode.HandleExchange(ctx, &pwrpc.ExchangeRequest{
		Instance: "equal",
	})
	if err != nil {
		return err
	}
	req := &pwrpc.ExchangeRequest{
		Instance:   "agent-" + serverName(1),
		DataCentre: string(dataCentreName(1)),
		Digest:     first.Digest,
	}
	req.Digest.ConfirmedUnixMs = epoch.UnixMilli()
	resp, err := fullNode.HandleExchange(ctx, req)
	if err != nil {
		return err
	}
	m.addPoint("bytes.exchange", "known keys", "B an exchange", x, float64(proto.Size(req)+proto.Size(resp)))
	inMemory := encodingPeer{fullNode}
	m.addPoint("cpu.exchange", "known keys", "us an exchange", x, cpuPerOp(func(int) { _, _ = inMemory.Exchange(ctx, req) }))
	for _, v := range handlerVariants {
		if err := measureLoopbackCalls(ctx, m, fullNode, req, x, v.suffix, v.opts...); err != nil {
			return err
		}
	}
	return nil
}

// measureLoopbackCalls measures the comparison of equal digests and the storing of records
// over loopback.
func measureLoopbackCalls(ctx context.Context, m *meter, fullNode *pwgossip.Node, req *pwrpc.ExchangeRequest, x float64, suffix string, opts ...connect.HandlerOption) error {
	counter := &byteCounter{}
	mux := http.NewServeMux()
	mux.Handle(pwrpc.NewPeerServiceHandler(&pwpeer.Server{
		Gossip:  fullNode,
		Records: pwdirectory.NewStore(pwdirectory.Config{}),
	}, opts...))
	address, stop, err := serveLoopback(ctx, mux, counter)
	if err != nil {
		return err
	}
	defer stop()
	client := pwtransport.NewClient(nil)
	defer client.CloseIdleConnections()
	remote := pwpeer.NewDialer(client, "http").Client(address)
	// The first call opens the connection.
	if _, err := remote.Exchange(ctx, req); err != nil {
		return err
	}
	counter.bytes.Store(0)
	calls := 0
	m.addPoint("cpu.exchange_wire"+suffix, "known keys, both ends", "us an exchange", x, cpuPerOp(func(int) {
		_, err = remote.Exchange(ctx, req)
		calls++
	}))
	m.addPoint("bytes.exchange_wire"+suffix, "known keys", "B an exchange", x, float64(counter.bytes.Load())/float64(calls))
	if err != nil {
		return err
	}
	start := counter.bytes.Load()
	calls = 0
	m.addPoint("cpu.record_wire"+suffix, "known keys, both ends", "us a record", x, cpuPerOp(func(i int) {
		err = remote.PutRecord(ctx, newRecord(i%1_000))
		calls++
	}))
	m.addPoint("bytes.record_wire"+suffix, "known keys", "B a record", x, float64(counter.bytes.Load()-start)/float64(calls))
	return err
}

// measureSockets measures a small message and its echo on one connection, which separates
// the cost of the kernel from that of the code.
func measureSockets(ctx context.Context, m *meter) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(onlyWriter{c}, onlyReader{c})
		_ = c.Close()
	}()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for _, n := range []int{100, 1_000, 4_000} {
		buf := make([]byte, n)
		m.addPoint("cpu.socket_echo", "bytes, both ends", "us a message and its echo", float64(n), cpuPerOp(func(int) {
			if _, err = c.Write(buf); err == nil {
				_, err = io.ReadFull(c, buf)
			}
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

// onlyReader and onlyWriter hide the other methods of a connection, so that io.Copy does
// not splice within the kernel.
type onlyReader struct{ io.Reader }

type onlyWriter struct{ io.Writer }

// measureEngineCheck measures the load check that an agent sends to its engine.
func measureEngineCheck(ctx context.Context, m *meter) error {
	counter := &byteCounter{}
	address, stop, err := serveLoopback(ctx, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"running":100,"used_tokens":1000000,"memory_tokens":100000000,"pending_prefill_tokens":45000,"models":["lantern-design-70b"],"incarnation":7}`))
	}), counter)
	if err != nil {
		return err
	}
	defer stop()
	engine, err := pwengine.NewHTTPEngine("http://"+address, nil)
	if err != nil {
		return err
	}
	if _, err := engine.Load(ctx); err != nil {
		return err
	}
	for _, n := range m.sizes([]int{20, 40, 80}, []int{200, 400, 800, 1_600}) {
		bytesBefore, start := counter.bytes.Load(), processorTime()
		for range n {
			if _, err := engine.Load(ctx); err != nil {
				return err
			}
		}
		m.addPoint("cpu.engine_check", "checks, both ends", "us", float64(n), float64((processorTime() - start).Microseconds()))
		m.addPoint("bytes.engine_check", "checks", "B", float64(n), float64(counter.bytes.Load()-bytesBefore))
	}
	return nil
}
