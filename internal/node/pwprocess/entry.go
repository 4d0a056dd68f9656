package pwprocess

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/do/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwduty"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeer"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdirectory"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// maxAgentMessage bounds one message to an agent: a prompt and the tokens of
// earlier attempts.
const maxAgentMessage = 32 << 20

// entryProcess is one entry with all its parts.
type entryProcess struct {
	settings  *pwsettings.Settings
	obs       *pwobserve.Observer
	entry     *pwentry.Entry
	node      *pwgossip.Node
	instances *instanceCache
}

// RunEntry runs an entry until ctx ends, and then until its requests have
// ended.
func RunEntry(ctx context.Context, s *pwsettings.Settings, p Platform, sockets Listeners, log io.Writer) error {
	i := newInjector(s, p, pwinstance.RoleEntry, log)
	store := pwdirectory.NewStore(pwdirectory.Config{})
	do.ProvideValue(i, store)
	do.Provide(i, newEntry)
	do.Provide(i, newEntryProcess)
	do.Provide(i, newDuties)
	proc, err := do.Invoke[*entryProcess](i)
	if err != nil {
		return err
	}
	duty, err := do.Invoke[*pwduty.Duties](i)
	if err != nil {
		return err
	}
	k := do.MustInvoke[*keys](i)
	path, peerHandler := pwpeer.NewHandler(&pwpeer.Server{
		Self:    selfOf(s, pwinstance.RoleEntry),
		Gossip:  proc.node,
		Records: store,
	})
	api := pwentry.NewAPI(proc.entry)
	pwoperator.Register(api.Huma(), proc.operatorDeps(i))
	srv := &servers{}
	bg := newBackground(ctx)
	defer bg.stop()
	if err := srv.start(ctx, proc.obs,
		listener{
			open:    sockets.Callers,
			address: s.Listen.Callers,
			handler: api,
			tls:     k.callers,
		},
		listener{
			open:    sockets.Peers,
			address: s.Listen.Peers,
			handler: mount(path, peerHandler),
			tls:     k.peers,
		}); err != nil {
		srv.stop(ctx)
		return err
	}
	if k.keeper != nil {
		bg.run(k.keeper.Run)
	}
	directory := do.MustInvoke[*pwpeering.Directory](i)
	bg.run(directory.Run)
	bg.run(proc.node.Run)
	bg.run(proc.entry.Run)
	bg.run(proc.loop)
	bg.run(duty.Run)
	<-ctx.Done()
	leave(ctx, directory, proc.obs)
	return proc.shutdown(ctx, srv)
}

// shutdown lets the admitted requests end before it closes the servers.
func (p *entryProcess) shutdown(ctx context.Context, srv *servers) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.settings.Entry.ShutdownTimeout())
	defer cancel()
	p.obs.Info("shutting down")
	err := p.entry.Shutdown(ctx)
	srv.stop(ctx)
	return err
}

func newEntry(i do.Injector) (*pwentry.Entry, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	platform := do.MustInvoke[Platform](i)
	p, err := do.Invoke[*peers](i)
	if err != nil {
		return nil, err
	}
	return pwentry.New(pwentry.Config{
		Instance:        s.Instance,
		DataCentre:      s.DataCentre,
		SubsetSize:      s.Entry.Subset,
		FlightRetention: s.Entry.FlightRetention(),
	}, pwentry.Deps{
		Agents:    pwentry.NewConnectDialer(p.client, p.scheme, connect.WithGRPC(), pwrpc.ClientOptions(maxAgentMessage)),
		Claims:    pwclaim.New(platform.Table, pwclaim.Config{}),
		Objects:   platform.Objects,
		Directory: pwdirectory.New(s.Instance, do.MustInvoke[*pwdirectory.Store](i), recordPeers{p.dialer}, do.MustInvoke[*instanceCache](i)),
		Observer:  do.MustInvoke[*pwobserve.Observer](i),
	}), nil
}

// recordPeers adapts the dialer to the directory.
type recordPeers struct {
	dialer *pwpeer.Dialer
}

// Peer implements pwdirectory.Peers.
func (r recordPeers) Peer(address string) pwdirectory.Peer { return r.dialer.Client(address) }

func newEntryProcess(i do.Injector) (*entryProcess, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	e, err := do.Invoke[*pwentry.Entry](i)
	if err != nil {
		return nil, err
	}
	p := &entryProcess{
		settings:  s,
		obs:       do.MustInvoke[*pwobserve.Observer](i),
		entry:     e,
		instances: do.MustInvoke[*instanceCache](i),
	}
	p.node, err = newNode(i, selfOf(s, pwinstance.RoleEntry), &crashExchange{
		entry: e,
	}, p.changed)
	return p, err
}

// changed puts new documents and marks in force.
func (p *entryProcess) changed(keys []string) {
	marks(p.node, keys, p.entry.SetOutOfService)
	for _, key := range keys {
		c, ok := p.node.Get(key)
		if !ok || len(key) <= len(pwdocument.KeyPrefix) || key[:len(pwdocument.KeyPrefix)] != pwdocument.KeyPrefix {
			continue
		}
		if c.Deleted() {
			p.entry.RemoveDocument(pwrequest.ServiceID(key[len(pwdocument.KeyPrefix):]))
			continue
		}
		doc, err := pwdocument.Parse(c.Value)
		if err != nil {
			p.obs.Warn("document could not be read; the version before it stays in force", err, "key", key)
			continue
		}
		p.entry.SetDocument(doc)
	}
}

// loop passes the known agents to the entry.
func (p *entryProcess) loop(ctx context.Context) {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		if _, err := p.instances.Instances(ctx); err != nil && !errors.Is(err, context.Canceled) {
			p.obs.Warn("instance list could not be read; the last one stays in force", err)
		}
		p.entry.SetInstances(p.instances.Known())
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// crashExchange carries crash counts between entries.
type crashExchange struct {
	entry *pwentry.Entry
	turn  atomic.Uint64
}

// Collect implements pwgossip.Crashes.
func (c *crashExchange) Collect(limit int) []*pwrpc.CrashCount {
	var out []*pwrpc.CrashCount
	for _, n := range c.choose(min(limit, maxCrashCounts)) {
		m := &pwrpc.CrashCount{
			Fingerprint: n.Fingerprint,
		}
		for _, cr := range n.Crashes {
			m.Crashes = append(m.Crashes, &pwrpc.Crash{
				Attempt:  string(cr.Attempt),
				AtUnixMs: cr.At.UnixMilli(),
				Alone:    cr.Alone,
				Besides:  cr.Neighbours,
				Cleared:  cr.Cleared,
			})
		}
		out = append(out, m)
	}
	return out
}

// choose returns the counts that changed lately, which the peers may lack, and
// one older one, so that a process that has just started learns them all.
func (c *crashExchange) choose(limit int) []pwquarantine.FingerprintCrashes {
	counts := c.entry.Crashes()
	slices.SortFunc(counts, func(a, b pwquarantine.FingerprintCrashes) int { return newest(b).Compare(newest(a)) })
	recent := slices.IndexFunc(counts, func(n pwquarantine.FingerprintCrashes) bool { return time.Since(newest(n)) > recentCrash })
	if recent < 0 || recent >= limit {
		return counts[:min(limit, len(counts))]
	}
	older := counts[recent:]
	i := int(c.turn.Add(1) % uint64(len(older)))
	return append(counts[:recent:recent], older[i])
}

const (
	// maxCrashCounts bounds the counts of one exchange. With all of them in each
	// exchange an entry sent 41 times what it may.
	maxCrashCounts = 16
	// recentCrash is the age up to which a crash is in every exchange: long
	// enough to reach everybody through random peers.
	recentCrash = 15 * time.Second
)

func newest(n pwquarantine.FingerprintCrashes) time.Time {
	var at time.Time
	for _, c := range n.Crashes {
		if c.At.After(at) {
			at = c.At
		}
	}
	return at
}

// Merge implements pwgossip.Crashes.
func (c *crashExchange) Merge(counts []*pwrpc.CrashCount) {
	var in []pwquarantine.FingerprintCrashes
	for _, m := range counts {
		n := pwquarantine.FingerprintCrashes{
			Fingerprint: m.Fingerprint,
		}
		for _, cr := range m.Crashes {
			n.Crashes = append(n.Crashes, pwquarantine.Crash{
				Attempt:    pwrequest.AttemptID(cr.Attempt),
				At:         time.UnixMilli(cr.AtUnixMs),
				Alone:      cr.Alone,
				Neighbours: cr.Besides,
				Cleared:    cr.Cleared,
			})
		}
		in = append(in, n)
	}
	c.entry.MergeCrashes(in)
}

func (p *entryProcess) operatorDeps(i do.Injector) pwoperator.Deps {
	o := &operators{
		process: p,
		dialer:  do.MustInvoke[*peers](i).dialer,
	}
	return pwoperator.Deps{
		Operators:   pwsecurity.NewOperatorAuthenticator(p.settings.Operators),
		ChangeLog:   do.MustInvoke[*pwchange.Log](i),
		Replica:     p.node,
		Propagation: o,
		Fleet:       o,
		Requests:    o,
		Observer:    p.obs,
	}
}
