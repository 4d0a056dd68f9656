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

// traffic counts the bytes of connections in both directions, without the
// headers of TCP and IP.
type traffic struct {
	bytes atomic.Int64
}

type countingListener struct {
	net.Listener
	count *traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{
		Conn:  c,
		count: l.count,
	}, nil
}

type countingConn struct {
	net.Conn
	count *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.bytes.Add(int64(n))
	return n, err
}

// serve serves a handler on loopback until stop is called.
func serve(ctx context.Context, h http.Handler, count *traffic) (address string, stop func(), err error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := pwtransport.NewServer(h, nil)
	go func() {
		_ = pwtransport.Serve(s, &countingListener{
			Listener: l,
			count:    count,
		})
	}()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

// reportingAgent sends a load report at each interval, as an agent does whose
// load changes all the time.
type reportingAgent struct {
	pwrpc.UnimplementedAgentServiceHandler
	index int
	sent  *atomic.Int64
}

// WatchLoad implements pwrpc.AgentServiceHandler.
func (a *reportingAgent) WatchLoad(ctx context.Context, _ *connect.Request[pwrpc.WatchLoadRequest], s *connect.ServerStream[pwrpc.LoadReport]) error {
	t := time.NewTicker(time.Second / measuredReports)
	defer t.Stop()
	for {
		if err := s.Send(loadReport(a.index, time.Now())); err != nil {
			return err
		}
		a.sent.Add(1)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// measuredReports is the rate of load reports while their cost is measured; more
// than the agents send, so that a short window sees enough of them.
const measuredReports = 5

// variants are the handlers as the processes make them, and with compression of
// every message, as connect-go does without an option.
var variants = []struct {
	suffix string
	opts   []connect.HandlerOption
}{
	{"", []connect.HandlerOption{pwrpc.HandlerOptions(maxMessage)}},
	{"_compressed", nil},
}

// maxMessage is more than any message of the measurement.
const maxMessage = 16 << 20

// measureWatches runs an entry before reporting agents on loopback.
func measureWatches(ctx context.Context, m *meter) error {
	window := 2 * time.Second
	if m.quick {
		window = 400 * time.Millisecond
	}
	for _, n := range m.sizes([]int{8, 16, 32}, []int{24, 48, 96, 192}) {
		for _, v := range variants {
			if err := watch(ctx, m, n, window, v.suffix, v.opts...); err != nil {
				return fmt.Errorf("watches: %w", err)
			}
		}
	}
	r := loadReport(1, time.Now())
	for _, n := range []int{1, 4, 14} {
		r.Models = nil
		for i := range n {
			r.Models = append(r.Models, fmt.Sprintf("%s-%d", modelName, i))
		}
		m.add("bytes.report_message", "models of the server", "B a report", float64(n), float64(proto.Size(r)))
		m.add("bytes.varying_report", "models of the server", "B a report", float64(n), float64(proto.Size(varying(r))))
	}
	return nil
}

func watch(ctx context.Context, m *meter, n int, window time.Duration, suffix string, opts ...connect.HandlerOption) error {
	before := live()
	count, sent := &traffic{}, &atomic.Int64{}
	var addresses []string
	for i := range n {
		mux := http.NewServeMux()
		mux.Handle(pwrpc.NewAgentServiceHandler(&reportingAgent{
			index: i,
			sent:  sent,
		}, opts...))
		a, stop, err := serve(ctx, mux, count)
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
		DataCentre: centreName(0),
		SubsetSize: n,
		Seed:       1,
	}, pwentry.Deps{
		Agents:   pwentry.NewConnectDialer(client, "http", connect.WithGRPC()),
		Observer: observer(),
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.Run(ctx)
	e.SetInstances(agents(n, func(i int) string { return addresses[i] }))
	if err := await(ctx, func() bool { return e.ReportingServerCount() == n }); err != nil {
		return err
	}
	m.add("memory.watch"+suffix, "agents on loopback, both ends", "B", float64(n), live()-before)
	bytes, messages, start, used := count.bytes.Load(), sent.Load(), time.Now(), processorTime()
	time.Sleep(window)
	seconds := time.Since(start).Seconds()
	rate := float64(sent.Load()-messages) / seconds
	m.add("messages.watch"+suffix, "watched agents", "reports/s", float64(n), rate)
	m.add("bytes.watch"+suffix, "reports a second", "B/s", rate, float64(count.bytes.Load()-bytes)/seconds)
	m.add("cpu.watch"+suffix, "reports a second, both ends", "us/s", rate, float64((processorTime()-used).Microseconds())/seconds)
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
			DataCentre: centreName(0),
		},
		Log:       pwchange.NewLog(pwfakeplatform.NewTable()),
		Instances: onePeer{},
		Dialer:    d,
		Seed:      1,
	})
}

// onePeer is an instance list with one other process.
type onePeer struct{}

// Instances implements pwgossip.Instances.
func (onePeer) Instances(context.Context) ([]pwinstance.Instance, error) {
	return []pwinstance.Instance{{
		ID:         "full",
		DataCentre: centreName(0),
		Address:    "full",
		Role:       pwinstance.RoleEntry,
	}}, nil
}

// memoryPeer reaches a node through the wire format, without a network.
type memoryPeer struct {
	node *pwgossip.Node
}

// Peer implements pwgossip.Dialer.
func (p memoryPeer) Peer(pwinstance.Instance) pwgossip.Peer { return p }

// Exchange implements pwgossip.Peer.
func (p memoryPeer) Exchange(ctx context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
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

// measureExchange measures one comparison of digests, and the first
// synchronisation of a process without state.
func measureExchange(ctx context.Context, m *meter) error {
	for _, n := range m.sizes([]int{100, 500, 1_000}, []int{100, 1_000, 8_000}) {
		full, err := newNode("full", nil)
		if err != nil {
			return err
		}
		var changes []pwchange.Change
		for i := range n {
			changes = append(changes, mark(i))
		}
		full.Publish(changes...)
		if err := exchanges(ctx, m, full, float64(n)); err != nil {
			return fmt.Errorf("exchange: %w", err)
		}
		if err := catchUp(ctx, m, full, "first_sync", nil, n); err != nil {
			return fmt.Errorf("first synchronisation: %w", err)
		}
		// Without its oldest change a process has the same head, so that all
		// sequence numbers are compared.
		if err := catchUp(ctx, m, full, "gap", changes[1:], n); err != nil {
			return fmt.Errorf("gap: %w", err)
		}
	}
	return measureEngineCheck(ctx, m)
}

// catchUp starts a node with some of the changes and waits until it has the
// n changes of another one.
func catchUp(ctx context.Context, m *meter, full *pwgossip.Node, name string, known []pwchange.Change, n int) error {
	node, err := newNode("behind", memoryPeer{full})
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
	m.add("cpu."+name, "known keys, both ends", "us", float64(n), float64((processorTime() - start).Microseconds()))
	m.add("bytes."+name, "known keys", "B", float64(n), float64(s.SentBytes+s.ReceivedBytes))
	return nil
}

// exchanges compares equal digests, in memory and over loopback.
func exchanges(ctx context.Context, m *meter, full *pwgossip.Node, x float64) error {
	first, err := full.HandleExchange(ctx, &pwrpc.ExchangeRequest{
		Instance: "equal",
	})
	if err != nil {
		return err
	}
	req := &pwrpc.ExchangeRequest{
		Instance:   "agent-" + serverName(1),
		DataCentre: string(centreName(1)),
		Digest:     first.Digest,
	}
	req.Digest.ConfirmedUnixMs = epoch.UnixMilli()
	resp, err := full.HandleExchange(ctx, req)
	if err != nil {
		return err
	}
	m.add("bytes.exchange", "known keys", "B an exchange", x, float64(proto.Size(req)+proto.Size(resp)))
	near := memoryPeer{full}
	m.add("cpu.exchange", "known keys", "us an exchange", x, cost(func(int) { _, _ = near.Exchange(ctx, req) }))
	for _, v := range variants {
		if err := exchangesOnWire(ctx, m, full, req, x, v.suffix, v.opts...); err != nil {
			return err
		}
	}
	return nil
}

// exchangesOnWire compares equal digests and stores records over loopback.
func exchangesOnWire(ctx context.Context, m *meter, full *pwgossip.Node, req *pwrpc.ExchangeRequest, x float64, suffix string, opts ...connect.HandlerOption) error {
	count := &traffic{}
	mux := http.NewServeMux()
	mux.Handle(pwrpc.NewPeerServiceHandler(&pwpeer.Server{
		Gossip:  full,
		Records: pwdirectory.NewStore(pwdirectory.Config{}),
	}, opts...))
	address, stop, err := serve(ctx, mux, count)
	if err != nil {
		return err
	}
	defer stop()
	client := pwtransport.NewClient(nil)
	defer client.CloseIdleConnections()
	far := pwpeer.NewDialer(client, "http").Client(address)
	// The first call opens the connection.
	if _, err := far.Exchange(ctx, req); err != nil {
		return err
	}
	count.bytes.Store(0)
	calls := 0
	m.add("cpu.exchange_wire"+suffix, "known keys, both ends", "us an exchange", x, cost(func(int) {
		_, err = far.Exchange(ctx, req)
		calls++
	}))
	m.add("bytes.exchange_wire"+suffix, "known keys", "B an exchange", x, float64(count.bytes.Load())/float64(calls))
	if err != nil {
		return err
	}
	start := count.bytes.Load()
	calls = 0
	m.add("cpu.record_wire"+suffix, "known keys, both ends", "us a record", x, cost(func(i int) {
		err = far.PutRecord(ctx, record(i%1_000))
		calls++
	}))
	m.add("bytes.record_wire"+suffix, "known keys", "B a record", x, float64(count.bytes.Load()-start)/float64(calls))
	return err
}

// measureSockets measures a message of a few bytes and its echo on one
// connection, to tell the cost of the kernel from that of the code.
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
		m.add("cpu.socket_echo", "bytes, both ends", "us a message and its echo", float64(n), cost(func(int) {
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

// onlyReader and onlyWriter keep io.Copy from splicing within the kernel.
type onlyReader struct{ io.Reader }

type onlyWriter struct{ io.Writer }

// measureEngineCheck measures the agent's question to its engine.
func measureEngineCheck(ctx context.Context, m *meter) error {
	count := &traffic{}
	address, stop, err := serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"running":100,"used_tokens":1000000,"memory_tokens":100000000,"pending_prefill_tokens":45000,"models":["lantern-design-70b"],"incarnation":7}`))
	}), count)
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
		bytes, start := count.bytes.Load(), processorTime()
		for range n {
			if _, err := engine.Load(ctx); err != nil {
				return err
			}
		}
		m.add("cpu.engine_check", "checks, both ends", "us", float64(n), float64((processorTime() - start).Microseconds()))
		m.add("bytes.engine_check", "checks", "B", float64(n), float64(count.bytes.Load()-bytes))
	}
	return nil
}
