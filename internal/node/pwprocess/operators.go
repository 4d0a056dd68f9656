package pwprocess

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeer"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

const (
	// reachPerCentre bounds the processes of a data centre that are asked
	// whether a change is in force.
	reachPerCentre = 16
	reachTimeout   = time.Second
	// requestLook bounds the time in which the state of a request that another
	// entry runs is read.
	requestLook = 300 * time.Millisecond
)

// operators gives the operators' interface what this entry knows.
type operators struct {
	process *entryProcess
	dialer  *pwpeer.Dialer
}

// InForce implements pwoperator.Reach. It asks some processes of each data
// centre at the same time. Those that do not answer are returned as never
// seen, so that a data centre of which nothing is heard does not count as
// reached.
func (o *operators) InForce(ctx context.Context, key string, sequence uint64) ([]pwoperator.ProcessStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	q := &reachQuery{
		operators: o,
		key:       key,
		sequence:  sequence,
	}
	asked := map[pwrequest.DataCentre]int{}
	var wg sync.WaitGroup
	for _, i := range o.process.instances.Known() {
		if asked[i.DataCentre]++; asked[i.DataCentre] <= reachPerCentre {
			wg.Go(func() { q.run(ctx, i) })
		}
	}
	wg.Wait()
	return q.answers, nil
}

// reachQuery collects the answers of several processes.
type reachQuery struct {
	operators *operators
	key       string
	sequence  uint64

	mu      sync.Mutex
	answers []pwoperator.ProcessStatus
}

func (q *reachQuery) run(ctx context.Context, i pwinstance.Instance) {
	answer := pwoperator.ProcessStatus{
		Instance:   i.ID,
		DataCentre: i.DataCentre,
	}
	if resp, err := q.operators.dialer.Client(i.Address).Holds(ctx, q.key, q.sequence); err == nil {
		answer.InForce = resp.InForce
		answer.AnsweredAt = time.Now()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers = append(q.answers, answer)
}

// Servers implements pwoperator.Fleet.
func (o *operators) Servers() []pwoperator.Server {
	seen := o.process.entry.Reports()
	var out []pwoperator.Server
	for _, i := range o.process.instances.Known() {
		if i.Role != pwinstance.RoleAgent {
			continue
		}
		s := pwoperator.Server{
			ID:         i.BackendServer,
			Service:    i.Service,
			DataCentre: i.DataCentre,
			Leaving:    i.Leaving,
			Watched:    o.process.entry.Watches(i.BackendServer),
		}
		if rep, ok := seen[i.BackendServer]; ok {
			s.Report = &pwoperator.LoadReport{
				InService:    rep.InService,
				Running:      rep.Running,
				RunningBound: rep.RunningBound,
				RunningLong:  rep.RunningLong,
				SentAt:       rep.SentAt,
			}
		}
		out = append(out, s)
	}
	return out
}

// Request implements pwoperator.Requests.
func (o *operators) Request(ctx context.Context, id pwrequest.ID) (pwoperator.RequestState, error) {
	f, err := o.process.entry.FindInAnyWorkspace(ctx, id)
	if err != nil {
		return pwoperator.RequestState{}, err
	}
	// A request that another entry runs is not known here until the first
	// part of its answer has been read.
	look, cancel := context.WithTimeout(ctx, requestLook)
	defer cancel()
	_, _ = f.Read(look, 0, func(int64, []string) error { return nil })
	return o.stateOf(f), nil
}

func (o *operators) stateOf(f *pwentry.InFlightRequest) pwoperator.RequestState {
	r, s := f.Request(), f.Status()
	server, _ := lo.Find(o.process.instances.Known(), func(i pwinstance.Instance) bool {
		return i.Role == pwinstance.RoleAgent && i.Address == s.AgentAddress
	})
	return pwoperator.RequestState{
		BackendServer: server.BackendServer,

		ID:         r.ID(),
		Service:    r.Service(),
		Workspace:  r.Workspace(),
		Model:      r.Model(),
		State:      s.State,
		Tokens:     s.Tokens,
		Reason:     s.Reason,
		Attempt:    s.Attempt,
		AdmittedAt: s.AdmittedAt,
		Err:        s.Err,
	}
}

// CancelRequest implements pwoperator.Requests.
func (o *operators) CancelRequest(ctx context.Context, id pwrequest.ID) (bool, error) {
	f, err := o.process.entry.FindInAnyWorkspace(ctx, id)
	if err != nil {
		return false, err
	}
	return o.process.entry.Cancel(ctx, id, f.Request().Workspace())
}
