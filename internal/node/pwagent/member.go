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

// member is this server's membership in a group of servers that together hold a
// prompt larger than the memory of one engine.
type member struct {
	groupID   pwmemory.GroupID
	fence     uint64
	model     pwrequest.ModelID
	ctx       context.Context
	cancel    context.CancelFunc
	tokens    int64
	kvHandles []string
}

// ReserveMember reserves memory for a member of a group on this server.
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
		resp.Refusal = pwrpc.NewRefusal(err)
		d.Verdict, d.Cause = pwverdict.VerdictOf(err).String(), resp.Refusal.Cause
	}
	a.obs.LogDecision(d)
	return resp, nil
}

// reserveMember admits a member and replaces an earlier one of the same group. A
// repeated reservation changes nothing and returns its first grant.
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
	if err := a.checkPreconditions(now, r); err != nil {
		return pwadmission.Grant{}, err
	}
	if err := a.checkDroppingTokens(now, req.Tokens); err != nil {
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
	if replaced, ok := a.members[req.GroupId]; ok {
		a.endMember(replaced)
	}
	ctx, cancel := context.WithDeadline(a.baseCtx, deadline)
	a.members[req.GroupId] = &member{
		groupID: id,
		fence:   grant.Fence(),
		model:   r.Model(),
		tokens:  req.Tokens,
		ctx:     ctx,
		cancel:  cancel,
	}
	a.signalLoadChange()
	return grant, nil
}

// ReleaseMember releases the memory of a group member. A request without a fencing
// token comes from an entry that lost the reply of its reservation; it ends every
// round of the group up to the given one.
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
		a.signalLoadChange()
		a.closeDrainedIfIdle()
	}
	return &pwrpc.ReleaseMemberResponse{}, nil
}

// RunSegment prefills one segment of a prompt in the memory of a reserved member.
func (a *Agent) RunSegment(ctx context.Context, req *pwrpc.RunSegmentRequest) (*pwrpc.RunSegmentResponse, error) {
	handle, err := a.runSegment(ctx, req)
	resp := &pwrpc.RunSegmentResponse{
		KvHandle: handle,
	}
	if err == nil {
		return resp, nil
	}
	resp.Refusal = pwrpc.NewRefusal(err)
	if isServerCrash(err) {
		resp.ServerDied = true
		resp.ConcurrentFingerprints = a.handleEngineCrash(nil)
	}
	return resp, nil
}

// runSegment returns the handle of the KV cache that the engine exports for the
// segment. It ends when the member is released.
func (a *Agent) runSegment(ctx context.Context, req *pwrpc.RunSegmentRequest) (string, error) {
	m, err := a.findMember(req.GroupId, req.Fence)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.ctx, cancel)()
	a.mu.Lock()
	p := a.prefills.start()
	a.runningSegments++
	a.signalLoadChange()
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.prefills.end(p)
		a.runningSegments--
		a.signalLoadChange()
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
		a.dropKV(0, handle)
		return "", pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseStaleFence, "group member was released while its segment ran")
	}
	m.kvHandles = append(m.kvHandles, handle)
	return handle, nil
}

// findMember returns the member of a group, which must have the fencing token.
func (a *Agent) findMember(group string, fence uint64) (*member, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.members[group]
	if !ok || m.fence != fence {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "group %q has no member with fencing token %d on backend server %s", group, fence, a.cfg.BackendServer)
	}
	return m, nil
}

// endMember cancels a member's work and drops its KV cache. The caller holds a.mu.
func (a *Agent) endMember(m *member) {
	m.cancel()
	a.dropKV(m.tokens, m.kvHandles...)
}

// dropKV drops KV cache from the engine in the background. The tokens are not reused
// until the engine has confirmed that. The caller holds a.mu.
func (a *Agent) dropKV(tokens int64, handles ...string) {
	a.droppingTokens += tokens
	go (&kvDropper{
		agent:             a,
		handles:           handles,
		tokens:            tokens,
		startedAt:         time.Now(),
		engineIncarnation: a.engineIncarnation,
	}).run()
}

// checkDroppingTokens returns an error when new work would need memory that the engine
// may still hold for ended members. The caller holds a.mu.
func (a *Agent) checkDroppingTokens(now time.Time, tokens int64) error {
	if a.droppingTokens == 0 {
		return nil
	}
	l := a.admission.Load(now)
	if l.ReservedTokens()+a.droppingTokens+tokens <= l.MemoryTokens() {
		return nil
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull, "%d tokens of KV cache are still being freed; the work needs %d tokens", a.droppingTokens, tokens).
		WithRetryAfter(maintenanceInterval)
}

// discardMembers removes all members after a crash of the engine, which has freed their
// KV cache. The caller holds a.mu.
func (a *Agent) discardMembers() {
	for id, m := range a.members {
		m.cancel()
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
	a.closeDrainedIfIdle()
}

// kvDropper drops exported KV cache of a group member from the engine.
type kvDropper struct {
	agent             *Agent
	handles           []string
	tokens            int64
	startedAt         time.Time
	engineIncarnation uint64 // when the member ended
}

// dropTimeout bounds one request to drop KV cache, and dropRetryDelay is the delay
// before a retry.
const (
	dropTimeout    = 10 * time.Second
	dropRetryDelay = 500 * time.Millisecond
)

// run retries until the engine has dropped all handles, or has restarted, which frees
// the KV cache too. Without retries, an engine that pauses for longer than one
// request would never free it.
func (d *kvDropper) run() {
	defer d.finish()
	for len(d.handles) > 0 && !d.engineRestarted() {
		if d.dropHandle(d.handles[0]) == nil {
			d.handles = d.handles[1:]
			continue
		}
		if sleep(d.agent.baseCtx, dropRetryDelay) != nil {
			return
		}
	}
	d.agent.waitForEngineReply(d.startedAt)
}

func (d *kvDropper) dropHandle(handle string) error {
	ctx, cancel := context.WithTimeout(d.agent.baseCtx, dropTimeout)
	defer cancel()
	err := d.agent.engine.DropKV(ctx, handle)
	if err != nil {
		d.agent.obs.Warn("KV cache could not be dropped; retrying", err, "handle", handle)
	}
	return err
}

func (d *kvDropper) engineRestarted() bool {
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	return d.agent.engineIncarnation != d.engineIncarnation
}

// finish makes the tokens available again.
func (d *kvDropper) finish() {
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	d.agent.droppingTokens -= d.tokens
	d.agent.signalLoadChange()
}
