package pwentry

import (
	"context"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// putRecord tells the directory where the answer is, in the background.
func (f *InFlightRequest) putRecord(id pwrequest.AttemptID, address string) {
	if f.entry.directory == nil {
		return
	}
	go (&recordPut{
		entry: f.entry,
		record: &pwrpc.RequestRecord{
			RequestId:     string(f.request.ID()),
			Workspace:     string(f.request.Workspace()),
			AttemptId:     string(id),
			AttemptNumber: f.sent,
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

type recordPut struct {
	entry  *Entry
	record *pwrpc.RequestRecord
}

func (p *recordPut) run() {
	ctx, cancel := context.WithTimeout(p.entry.baseCtx, recordTimeout)
	defer cancel()
	if err := p.entry.directory.Put(ctx, p.record); err != nil {
		p.entry.obs.Warn("request record was not stored", err, "request", p.record.RequestId)
	}
}
