package pwagent

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// member is this server's part of a group that serves a prompt larger than one
// engine's memory.
type member struct {
	group   pwmemory.GroupID
	fence   uint64
	model   pwrequest.ModelID
	ctx     context.Context
	stop    context.CancelFunc
	tokens  int64
	handles []string
}

// ReserveMember reserves this server's part of a group.
func (a *Agent) ReserveMember(_ context.Context, req *pwrpc.ReserveMemberRequest) (*pwrpc.ReserveMemberResponse, error) {
	grant, err := a.reserveMember(req)
	d := pwobserve.Decision{
		Kind:      "reserve",
		Request:   pwrequest.ID(req.RequestId),
		Attempt:   pwrequest.AttemptID(req.AttemptId),
		Workspace: pwrequest.WorkspaceID(req.Workspace),
		Service:   a.cfg.Service,
		Choice:    a.cfg.BackendServer,
	}
	resp := &pwrpc.ReserveMemberResponse{
		Fence: grant.Fence(),
	}
	if err != nil {
		resp.Refusal = pwrpc.RefusalOf(err)
		d.Verdict, d.Cause = pwverdict.VerdictOf(err).String(), resp.Refusal.Cause
	}
	a.obs.LogDecision(d)
	return resp, nil
}

func (a *Agent) reserveMember(req *pwrpc.ReserveMemberRequest) (pwadmission.Grant, error) {
	now := time.Now()
	deadline := time.UnixMilli(req.DeadlineUnixMs)
	a.mu.Lock()
	defer a.mu.Unlock()
	r := pwrequest.New(pwrequest.Params{
		Service:  pwrequest.ServiceID(req.Service),
		Model:    pwrequest.ModelID(req.Model),
		Deadline: deadline,
	})
	if err := a.acceptable(now, r); err != nil {
		return pwadmission.Grant{}, err
	}
	if err := a.checkDropping(now, req.Tokens); err != nil {
		return pwadmission.Grant{}, err
	}
	id := pwmemory.GroupID(req.GroupId)
	grant, err := a.admission.ReserveMember(now, pwadmission.GroupMember{
		GroupID:    id,
		Round:      req.Round,
		Owner:      pwrequest.InstanceID(req.Owner),
		Tokens:     req.Tokens,
		AdmittedAt: time.UnixMilli(req.AdmittedUnixMs),
		Deadline:   deadline,
	})
	if err != nil || grant.IsDuplicate() {
		return grant, err
	}
	if old, ok := a.members[req.GroupId]; ok {
		a.endMember(old)
	}
	ctx, stop := context.WithDeadline(a.baseCtx, deadline)
	a.members[req.GroupId] = &member{
		group:  id,
		fence:  grant.Fence(),
		model:  r.Model(),
		tokens: req.Tokens,
		ctx:    ctx,
		stop:   stop,
	}
	a.notifyLoad()
	return grant, nil
}

// ReleaseMember gives the memory of a group member back. Without a fencing
// token it ends every round of the group up to the given one, because the
// reply of the reservation was lost.
func (a *Agent) ReleaseMember(_ context.Context, req *pwrpc.ReleaseMemberRequest) (*pwrpc.ReleaseMemberResponse, error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	id := pwmemory.GroupID(req.GroupId)
	var released bool
	if req.Fence == 0 {
		released = a.admission.CancelMember(now, id, req.Round, time.UnixMilli(req.DeadlineUnixMs))
	} else {
		released = a.admission.ReleaseMember(now, id, req.Fence)
	}
	if m, ok := a.members[req.GroupId]; ok && released {
		a.endMember(m)
		delete(a.members, req.GroupId)
		a.notifyLoad()
		a.closeIdleLocked()
	}
	return &pwrpc.ReleaseMemberResponse{}, nil
}

// RunSegment prefills one segment on the memory of a reserved member.
func (a *Agent) RunSegment(ctx context.Context, req *pwrpc.RunSegmentRequest) (*pwrpc.RunSegmentResponse, error) {
	handle, err := a.runSegment(ctx, req)
	resp := &pwrpc.RunSegmentResponse{
		KvHandle: handle,
	}
	if err == nil {
		return resp, nil
	}
	resp.Refusal = pwrpc.RefusalOf(err)
	if isServerDeath(err) {
		resp.ServerDied = true
		resp.ConcurrentFingerprints = a.engineDied("")
	}
	return resp, nil
}

func (a *Agent) runSegment(ctx context.Context, req *pwrpc.RunSegmentRequest) (string, error) {
	m, err := a.memberOf(req.GroupId, req.Fence)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.ctx, cancel)()
	a.mu.Lock()
	p := a.prefills.start()
	a.segments++
	a.notifyLoad()
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.prefills.end(p)
		a.segments--
		a.notifyLoad()
	}()
	handle, err := a.engine.PrefillSegment(ctx, pwengine.Segment{
		GroupID:      req.GroupId,
		Model:        m.model,
		Index:        int(req.Segment),
		Prompt:       req.Prompt,
		PromptTokens: req.PromptTokens,
		KVHandles:    req.KvHandles,
	})
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.members[req.GroupId] != m {
		a.drop(0, handle)
		return "", pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseStaleFence, "group member was released while its segment ran")
	}
	m.handles = append(m.handles, handle)
	return handle, nil
}

func (a *Agent) memberOf(group string, fence uint64) (*member, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.members[group]
	if !ok || m.fence != fence {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "no group member with fencing token %d here", fence)
	}
	return m, nil
}

// endMember stops a member's work and frees its KV cache. The caller holds a.mu.
func (a *Agent) endMember(m *member) {
	m.stop()
	a.drop(m.tokens, m.handles...)
}

// drop frees KV cache on the engine in the background. Until the engine has
// confirmed it, the tokens are not given to others. The caller holds a.mu.
func (a *Agent) drop(tokens int64, handles ...string) {
	a.dropping += tokens
	go (&kvDropper{
		agent:       a,
		handles:     handles,
		tokens:      tokens,
		since:       time.Now(),
		incarnation: a.incarnation,
	}).run()
}

// checkDropping refuses work that would need memory which the engine may still
// hold for members that have ended. The caller holds a.mu.
func (a *Agent) checkDropping(now time.Time, tokens int64) error {
	if a.dropping == 0 {
		return nil
	}
	l := a.admission.Load(now)
	if l.ReservedTokens()+a.dropping+tokens <= l.MemoryTokens() {
		return nil
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull, "%d tokens of KV cache are still being freed", a.dropping).
		WithRetryAfter(maintenanceInterval)
}

// dropMembers forgets all members after the engine died. The caller holds a.mu.
func (a *Agent) dropMembers() {
	for id, m := range a.members {
		m.stop()
		delete(a.members, id)
	}
}

// expireMember ends a member whose reservation was reclaimed. The caller holds
// a.mu.
func (a *Agent) expireMember(id pwmemory.GroupID, fence uint64) {
	m, ok := a.members[string(id)]
	if !ok || m.fence != fence {
		return
	}
	a.endMember(m)
	delete(a.members, string(id))
	a.closeIdleLocked()
}

// kvDropper frees exported KV cache on the engine.
type kvDropper struct {
	agent       *Agent
	handles     []string
	tokens      int64
	since       time.Time
	incarnation uint64 // of the engine when the member ended
}

// dropTimeout bounds one request to free KV cache, and dropRetry is the delay
// before the next one.
const (
	dropTimeout = 10 * time.Second
	dropRetry   = 500 * time.Millisecond
)

// run repeats until the engine has freed everything, or has restarted, which
// frees it too. An engine that pauses for longer would otherwise keep it.
func (d *kvDropper) run() {
	defer d.done()
	for len(d.handles) > 0 && !d.restarted() {
		if d.drop(d.handles[0]) == nil {
			d.handles = d.handles[1:]
			continue
		}
		if sleep(d.agent.baseCtx, dropRetry) != nil {
			return
		}
	}
	d.agent.awaitEngine(d.since)
}

func (d *kvDropper) drop(handle string) error {
	ctx, cancel := context.WithTimeout(d.agent.baseCtx, dropTimeout)
	defer cancel()
	err := d.agent.engine.DropKV(ctx, handle)
	if err != nil {
		d.agent.obs.Warn("KV cache could not be freed; trying again", err, "handle", handle)
	}
	return err
}

func (d *kvDropper) restarted() bool {
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	return d.agent.incarnation != d.incarnation
}

func (d *kvDropper) done() {
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	d.agent.dropping -= d.tokens
	d.agent.notifyLoad()
}
