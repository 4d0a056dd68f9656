package pwprocess

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
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

// maxAgentMessage bounds one message to an agent in bytes. The largest message contains
// a prompt and the tokens of earlier attempts.
const maxAgentMessage = 32 << 20

// entryProcess holds the components of an entry's process.
type entryProcess struct {
	settings  *pwsettings.Settings
	obs       *pwobserve.Observer
	entry     *pwentry.Entry
	node      *pwgossip.Node
	instances *instanceCache
}

// RunEntry runs an entry until ctx ends, and then waits until the entry's requests have
// ended or the shutdown has timed out.
func RunEntry(ctx context.Context, s *pwsettings.Settings, p Platform, listeners Listeners, log io.Writer) error {
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
	duties, err := do.Invoke[*pwduty.Duties](i)
	if err != nil {
		return err
	}
	tlsCfg := do.MustInvoke[*tlsSetup](i)
	path, peerHandler := pwpeer.NewHandler(&pwpeer.Server{
		Self:    selfInstance(s, pwinstance.RoleEntry),
		Gossip:  proc.node,
		Records: store,
	})
	api := pwentry.NewAPI(proc.entry)
	pwoperator.Register(api.Huma(), proc.operatorDeps(i))
	srv := &httpServers{}
	bg := newBackgroundTasks(ctx)
	defer bg.stop()
	if err := srv.start(ctx, proc.obs,
		endpoint{
			listener: listeners.Callers,
			address:  s.Listen.Callers,
			handler:  api,
			tls:      tlsCfg.callerServer,
		},
		endpoint{
			listener: listeners.Peers,
			address:  s.Listen.Peers,
			handler:  newMux(path, peerHandler),
			tls:      tlsCfg.peerServer,
		}); err != nil {
		srv.stop(ctx)
		return err
	}
	if tlsCfg.certWatcher != nil {
		bg.start(tlsCfg.certWatcher.Run)
	}
	directory := do.MustInvoke[*pwpeering.Directory](i)
	bg.start(directory.Run)
	bg.start(proc.node.Run)
	bg.start(proc.entry.Run)
	bg.start(proc.loop)
	bg.start(duties.Run)
	<-ctx.Done()
	deregister(ctx, directory, proc.obs)
	return proc.shutdown(ctx, srv)
}

const (
	// maxAnswerTime is the time at the end of a shutdown in which the requests that still
	// run are ended and their callers get an answer. It covers the abort of claims.
	maxAnswerTime = 4 * time.Second
	// answerTimeDivisor bounds that time by a part of the whole shutdown.
	answerTimeDivisor = 4
)

// shutdown waits until the admitted requests have ended and the bodies of others have arrived,
// and ends those that take too long, before it closes the servers.
func (p *entryProcess) shutdown(ctx context.Context, srv *httpServers) error {
	timeout := p.settings.Entry.ShutdownTimeout()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	p.obs.Info("shutting down")
	drainCtx, cancelDrain := context.WithTimeout(ctx, timeout-min(maxAnswerTime, timeout/answerTimeDivisor))
	defer cancelDrain()
	err := p.entry.Shutdown(drainCtx)
	if err == nil {
		err = srv.drain(drainCtx)
	}
	if err != nil {
		p.obs.Warn("requests are ended because the shutdown takes too long", err)
		err = p.entry.EndRequests(ctx)
	}
	srv.stop(ctx)
	return err
}

func newEntry(i do.Injector) (*pwentry.Entry, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	platform := do.MustInvoke[Platform](i)
	p, err := do.Invoke[*peerConnections](i)
	if err != nil {
		return nil, err
	}
	return pwentry.New(pwentry.Config{
		Instance:        s.Instance,
		DataCentre:      s.DataCentre,
		SubsetSize:      s.Entry.Subset,
		FlightRetention: s.Entry.FlightRetention(),
	}, pwentry.Deps{
		Agents:    pwentry.NewConnectDialer(p.httpClient, p.scheme, connect.WithGRPC(), pwrpc.ClientOptions(maxAgentMessage)),
		Claims:    pwclaim.New(platform.Table, pwclaim.Config{}),
		Objects:   platform.Objects,
		Directory: pwdirectory.New(s.Instance, do.MustInvoke[*pwdirectory.Store](i), directoryPeers{p.dialer}, do.MustInvoke[*instanceCache](i)),
		Observer:  do.MustInvoke[*pwobserve.Observer](i),
	}), nil
}

// directoryPeers adapts the peer dialer to the request directory.
type directoryPeers struct {
	dialer *pwpeer.Dialer
}

// Peer implements pwdirectory.Peers.
func (r directoryPeers) Peer(address string) pwdirectory.Peer { return r.dialer.Client(address) }

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
	p.node, err = newNode(i, selfInstance(s, pwinstance.RoleEntry), &crashExchange{
		entry: e,
	}, p.applyChanges)
	return p, err
}

// applyChanges applies changed documents and marks to the entry.
func (p *entryProcess) applyChanges(keys []string) {
	applyMarks(p.node, keys, p.entry.SetOutOfService)
	for _, key := range keys {
		c, ok := p.node.Get(key)
		if !ok || len(key) <= len(pwdocument.KeyPrefix) || key[:len(pwdocument.KeyPrefix)] != pwdocument.KeyPrefix {
			continue
		}
		service := pwrequest.ServiceID(key[len(pwdocument.KeyPrefix):])
		if c.Deleted() {
			p.entry.RemoveDocument(service)
			continue
		}
		doc, err := pwdocument.Parse(c.Value)
		if err != nil {
			removed, ok := p.entry.ApplyRevocations(service, c.Value)
			p.obs.Warn("document could not be parsed; the previous version stays in force, without revoked credentials", err,
				"key", key, "revoked", strconv.Itoa(removed), "credentials_readable", strconv.FormatBool(ok))
			continue
		}
		p.entry.SetDocument(doc)
	}
}

// loop reads the instance list at regular intervals and passes the newest
// one to the entry, until ctx ends.
func (p *entryProcess) loop(ctx context.Context) {
	t := time.NewTicker(instanceRefreshInterval)
	defer t.Stop()
	for {
		if _, err := p.instances.Instances(ctx); err != nil && !errors.Is(err, context.Canceled) {
			p.obs.Warn("instance list could not be read; the previous one stays in force", err)
		}
		p.entry.SetInstances(p.instances.Known())
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// crashExchange exchanges the crash counts of prompts between entries.
type crashExchange struct {
	entry    *pwentry.Entry
	rotation atomic.Uint64
}

// Collect implements pwgossip.Crashes.
func (c *crashExchange) Collect(limit int) []*pwrpc.CrashCount {
	var out []*pwrpc.CrashCount
	for _, n := range c.selectCounts(min(limit, maxCrashCounts)) {
		m := &pwrpc.CrashCount{
			Fingerprint: n.Fingerprint,
		}
		for _, cr := range n.Crashes {
			m.Crashes = append(m.Crashes, &pwrpc.Crash{
				Attempt:  string(cr.Attempt),
				AtUnixMs: cr.At.UnixMilli(),
				Alone:    cr.RanAlone,
				Besides:  cr.Neighbours,
				Cleared:  cr.Cleared,
			})
		}
		out = append(out, m)
	}
	return out
}

// selectCounts returns the counts that changed recently, which the peers may lack, and
// one older count in rotation, so that a new process receives all of them in time.
func (c *crashExchange) selectCounts(limit int) []pwquarantine.FingerprintCrashes {
	counts := c.entry.Crashes()
	slices.SortFunc(counts, func(a, b pwquarantine.FingerprintCrashes) int { return latestCrash(b).Compare(latestCrash(a)) })
	recentCount := slices.IndexFunc(counts, func(n pwquarantine.FingerprintCrashes) bool { return time.Since(latestCrash(n)) > recentCrashAge })
	if recentCount < 0 || recentCount >= limit {
		return counts[:min(limit, len(counts))]
	}
	older := counts[recentCount:]
	i := int(c.rotation.Add(1) % uint64(len(older)))
	return append(counts[:recentCount:recentCount], older[i])
}

const (
	// maxCrashCounts bounds the counts of one exchange. With all counts in each
	// exchange an entry sent 41 times the allowed traffic.
	maxCrashCounts = 16
	// recentCrashAge is the age up to which a crash is part of every exchange. It is
	// long enough for the crash to reach all processes through random peers.
	recentCrashAge = 15 * time.Second
)

// latestCrash returns the time of the newest crash of a fingerprint.
func latestCrash(n pwquarantine.FingerprintCrashes) time.Time {
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
				RanAlone:   cr.Alone,
				Neighbours: cr.Besides,
				Cleared:    cr.Cleared,
			})
		}
		in = append(in, n)
	}
	c.entry.MergeCrashes(in)
}

// operatorDeps returns the dependencies of the operators' API.
func (p *entryProcess) operatorDeps(i do.Injector) pwoperator.Deps {
	o := &operatorBackend{
		process: p,
		dialer:  do.MustInvoke[*peerConnections](i).dialer,
	}
	return pwoperator.Deps{
		Operators:   pwsecurity.NewOperatorAuthenticator(p.settings.Operators),
		ChangeLog:   do.MustInvoke[*pwchange.Log](i).WithKnownSequence(p.node.Head),
		Replica:     p.node,
		Propagation: o,
		Fleet:       o,
		Requests:    o,
		Observer:    p.obs,
	}
}
