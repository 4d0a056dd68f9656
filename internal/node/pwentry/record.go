package pwentry

import (
	"context"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// storeRecord stores in the directory which agent holds the answer of an attempt, in the
// background. Other entries find the answer by this record.
func (f *InFlightRequest) storeRecord(id pwrequest.AttemptID, address string) {
	if f.entry.directory == nil {
		return
	}
	go (&recordWrite{
		entry: f.entry,
		record: &pwrpc.RequestRecord{
			RequestId:     string(f.request.ID()),
			Workspace:     string(f.request.Workspace()),
			AttemptId:     string(id),
			AttemptNumber: f.sentAttempts,
			AgentAddress:  address,
			State:         "running",
			ExpiresUnixMs: f.request.Deadline().Add(f.entry.cfg.FlightRetention).UnixMilli(),
			Entry:         string(f.entry.cfg.Instance),

			Service:        string(f.request.Service()),
			Model:          string(f.request.Model()),
			AdmittedUnixMs: f.request.AdmittedAt().UnixMilli(),
		},
	}).run()
}

// recordWrite is the write of one request record.
type recordWrite struct {
	entry  *Entry
	record *pwrpc.RequestRecord
}

func (p *recordWrite) run() {
	ctx, cancel := context.WithTimeout(p.entry.lifetimeCtx, recordTimeout)
	defer cancel()
	if err := p.entry.directory.Put(ctx, p.record); err != nil {
		p.entry.obs.Warn("request record was not stored", err, "request", p.record.RequestId)
	}
}
