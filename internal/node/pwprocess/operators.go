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
	// maxQueriesPerDataCentre bounds the processes of a data centre that are queried
	// for whether a change is in force, and inForceTimeout bounds all queries.
	maxQueriesPerDataCentre = 16
	inForceTimeout          = time.Second
	// requestReadTimeout bounds the time for reading the state of a request that another
	// entry runs.
	requestReadTimeout = 300 * time.Millisecond
)

// operatorBackend provides the operators' API with the state of this entry and of the
// processes that it can query.
type operatorBackend struct {
	process *entryProcess
	dialer  *pwpeer.Dialer
}

// InForce implements pwoperator.Propagation. It queries some processes of each data centre
// concurrently. A process that does not reply is returned without a time at which it was
// seen, so that a data centre without any reply does not count as reached.
func (o *operatorBackend) InForce(ctx context.Context, key string, sequence uint64) ([]pwoperator.ProcessStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	q := &inForceQuery{
		backend:  o,
		key:      key,
		sequence: sequence,
	}
	queried := map[pwrequest.DataCentre]int{}
	var wg sync.WaitGroup
	for _, i := range o.process.instances.Known() {
		if queried[i.DataCentre]++; queried[i.DataCentre] <= maxQueriesPerDataCentre {
			wg.Go(func() { q.run(ctx, i) })
		}
	}
	wg.Wait()
	return q.replies, nil
}

// inForceQuery collects the replies of the queried processes.
type inForceQuery struct {
	backend  *operatorBackend
	key      string
	sequence uint64

	mu      sync.Mutex
	replies []pwoperator.ProcessStatus
}

func (q *inForceQuery) run(ctx context.Context, i pwinstance.Instance) {
	reply := pwoperator.ProcessStatus{
		Instance:   i.ID,
		DataCentre: i.DataCentre,
	}
	if resp, err := q.backend.dialer.Client(i.Address).Holds(ctx, q.key, q.sequence); err == nil {
		reply.InForce = resp.InForce
		reply.RespondedAt = time.Now()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.replies = append(q.replies, reply)
}

// Servers implements pwoperator.Fleet.
func (o *operatorBackend) Servers() []pwoperator.Server {
	reports := o.process.entry.Reports()
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
		if rep, ok := reports[i.BackendServer]; ok {
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
func (o *operatorBackend) Request(ctx context.Context, id pwrequest.ID) (pwoperator.RequestState, error) {
	f, err := o.process.entry.FindInAnyWorkspace(ctx, id)
	if err != nil {
		return pwoperator.RequestState{}, err
	}
	// The state of a request that another entry runs is available only after the
	// first part of its answer has been read.
	readCtx, cancel := context.WithTimeout(ctx, requestReadTimeout)
	defer cancel()
	_, _ = f.Read(readCtx, 0, func(int64, []string) error { return nil })
	return o.newRequestState(f), nil
}

// newRequestState returns the state of a request and the backend server that runs it.
func (o *operatorBackend) newRequestState(f *pwentry.InFlightRequest) pwoperator.RequestState {
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
func (o *operatorBackend) CancelRequest(ctx context.Context, id pwrequest.ID) (bool, error) {
	f, err := o.process.entry.FindInAnyWorkspace(ctx, id)
	if err != nil {
		return false, err
	}
	return o.process.entry.Cancel(ctx, id, f.Request().Workspace())
}
