package pwcapacity

import (
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
)

// Alternative is a change of a mechanism that is proposed or done, with a figure before
// and after it.
type Alternative struct {
	Name        string  `json:"name"`
	Figure      string  `json:"figure"`
	Unit        string  `json:"unit"`
	ValueBefore float64 `json:"before"`
	ValueAfter  float64 `json:"after"`
	Limit       float64 `json:"limit"`
	Status      string  `json:"status_after"`
	// Location names the source file, and the identifier in it, that the change affects.
	Location string `json:"where"`
}

// compressionSource names the constant that sets the smallest size of a compressed
// message. Without such a size connect-go compresses every message.
const compressionSource = "internal/node/pwrpc/limits.go compressMinBytes"

// Parameters of the alternatives.
const (
	slowReportRate    = 0.5  // reports per second, one every 2 s
	smallSubsetSize   = 16   // agents of each service that an entry watches
	slowHeartbeatRate = 0.1  // heartbeats per second, one every 10 s
	batchPeers        = 8    // entries that hold the records of one entry
	batchRate         = 10   // batches per second to each of those entries
	slowListReadRate  = 0.01 // reads of the instance list per second
)

// alternatives compares mechanisms that exceed a limit with inexpensive changes of them.
func (p *projection) alternatives() []Alternative {
	s := p.size
	var out []Alternative
	add := func(name, figure, unit string, before, after, limit float64, where string) {
		_, status := checkLimit(after, limit)
		out = append(out, Alternative{
			Name:        name,
			Figure:      figure,
			Unit:        unit,
			ValueBefore: before,
			ValueAfter:  after,
			Limit:       limit,
			Status:      status,
			Location:    where,
		})
	}
	reportBytes := p.slope("bytes.watch")
	// A report of only the varying fields saves the difference between the sizes of the
	// two messages. The framing stays the same.
	varyingReportBytes := reportBytes - p.costAt("bytes.report_message", 1) + p.costAt("bytes.varying_report", 1)
	entryWatches, agentWatches := s.EntryWatches(), s.AgentWatches()
	smallSubsetWatches := entryWatches * smallSubsetSize / subsetSize
	trafficBefore, processorBefore := reportBytes*entryWatches*reportRate, cores(p.slope("cpu.watch")*entryWatches*reportRate)
	// The costs with and without compression of messages below 1 KiB are both measured,
	// not computed from each other.
	costPerMessage, compressedCostPerMessage := p.slope("cpu.watch"), p.slope("cpu.watch_compressed")
	const smallMessages = "done: small messages not compressed"
	add(smallMessages, "load reports of an entry", "cores", cores(compressedCostPerMessage*entryWatches*reportRate), processorBefore, LimitProcessor, compressionSource)
	add(smallMessages, "load reports of an agent", "cores", cores(compressedCostPerMessage*agentWatches*reportRate), cores(costPerMessage*agentWatches*reportRate), LimitProcessor, compressionSource)
	add(smallMessages, "request records of an entry", "cores", cores(p.costAt("cpu.record_wire_compressed", s.Marks)*recordCopies*s.EntryRequestRate()), cores(p.costAt("cpu.record_wire", s.Marks)*recordCopies*s.EntryRequestRate()), LimitProcessor, compressionSource)
	add(smallMessages, "comparisons with peers", "cores", cores(p.costAt("cpu.exchange_wire_compressed", s.Marks)*comparisonRate), cores(p.costAt("cpu.exchange_wire", s.Marks)*comparisonRate), LimitProcessor, compressionSource)
	add(smallMessages, "tokens of an entry (data path)", "cores", cores(compressedCostPerMessage*s.EntryTokenRate()), cores(costPerMessage*s.EntryTokenRate()), 0, compressionSource)
	add(smallMessages, "load reports of an entry", "B/s", p.slope("bytes.watch_compressed")*entryWatches*reportRate, trafficBefore, LimitTraffic, compressionSource)
	add("entry: load reports every 2 s", "load reports", "cores", processorBefore, cores(costPerMessage*entryWatches*slowReportRate), LimitProcessor, compressionSource+", "+fileAgent)
	add("entry: load reports every 2 s", "load reports", "B/s", trafficBefore, reportBytes*entryWatches*slowReportRate, LimitTraffic, fileAgent+" loadMinInterval")
	add("entry: load reports of the varying fields only", "load reports", "B/s", trafficBefore, varyingReportBytes*entryWatches*reportRate, LimitTraffic, fileAgent+" Load")
	add("entry: subset of 16 a service", "load reports", "B/s", trafficBefore, reportBytes*smallSubsetWatches*reportRate, LimitTraffic, fileEntry+" defaultSubset")
	add("entry: both of the first, subset of 16", "load reports", "B/s", trafficBefore, varyingReportBytes*smallSubsetWatches*slowReportRate, LimitTraffic, fileAgent+", "+fileEntry)
	add("entry: load reports every 2 s", "load reports", "cores", processorBefore, processorBefore*slowReportRate/reportRate, LimitProcessor, fileAgent+" loadMinInterval")
	add("entry: every 2 s and subset of 16", "load reports", "cores", processorBefore, processorBefore*slowReportRate/reportRate*smallSubsetSize/subsetSize, LimitProcessor, fileAgent+", "+fileEntry)
	add("entry: subset of 16 a service", "watch connections", "B", p.slope("memory.watch")*entryWatches, p.slope("memory.watch")*smallSubsetWatches, LimitMemory, fileEntry+" defaultSubset")
	// The varying fields are part of the two messages that each attempt needs anyway. A
	// slow heartbeat reports the load of agents without attempts.
	attemptMessageRate := 2 * s.EntryRequestRate()
	add("entry: varying fields beside accepted", "load beside accepted", "B/s", p.costAt("bytes.report_message", 1)*s.EntryRequestRate(), p.costAt("bytes.varying_report", 1)*s.EntryRequestRate(), LimitTraffic, fileAgent+" Load")
	add("entry: varying fields beside accepted and ended, subset of 16, heartbeat each 10 s", "load reports", "B/s", trafficBefore,
		attemptMessageRate*p.costAt("bytes.varying_report", 1)+varyingReportBytes*smallSubsetWatches*slowHeartbeatRate, LimitTraffic, fileAgent+" Execute, WatchLoad")
	add("entry: varying fields beside accepted and ended, subset of 16, heartbeat each 10 s", "load reports, with the first", "cores", processorBefore,
		cores(attemptMessageRate*p.costAt("cpu.load_report", subsetSize)+costPerMessage*smallSubsetWatches*slowHeartbeatRate), LimitProcessor, fileAgent+" Execute, WatchLoad")
	trafficBefore = reportBytes * agentWatches * reportRate
	add("agent: load reports every 2 s", "load reports", "B/s", trafficBefore, reportBytes*agentWatches*slowReportRate, LimitTraffic, fileAgent+" loadMinInterval")
	processorBefore = cores(p.slope("cpu.watch") * agentWatches * reportRate)
	add("agent: load reports every 2 s", "load reports", "cores", processorBefore, processorBefore*slowReportRate/reportRate, LimitProcessor, fileAgent+" loadMinInterval")
	listBytes := p.costAt("bytes.instance_list", s.Processes())
	add("entry: one reading of the list each 100 s", "instance list", "B/s", listBytes*listReadRate, listBytes*slowListReadRate, LimitTraffic, fileGossip+" ListInterval")
	add("agent: one reading of the list each 100 s", "instance list", "B/s", listBytes*listReadRate, listBytes*slowListReadRate, LimitTraffic, fileGossip+" ListInterval")
	crashCountBytes := p.costAt("bytes.crash_counts", s.AgentRunningAttempts()-1)
	add("done: one older count in turn instead of all in each exchange", "crash counts", "B/s", crashCountBytes*p.crashCountMessageRate(), crashCountBytes/maxCrashCounts*p.crashCountMessageRate(), LimitTraffic, "internal/node/pwprocess/entry.go selectCounts")
	add("entry: counts without the others beside them", "crash counts", "B/s", crashCountBytes/maxCrashCounts*p.crashCountMessageRate(), p.costAt("bytes.crash_counts", 0)/maxCrashCounts*p.crashCountMessageRate(), LimitTraffic, fileCodec)
	prefixBytes := p.slope("memory.prefix") * pwrouter.DefaultMaxPrefixes
	add("entry: one bound of 10,000 for all services", "prompt prefixes", "B", prefixBytes*s.Services, prefixBytes, LimitMemory, fileEntry+" serviceLocked")
	recordRate := s.EntryRequestRate()
	add("done: entries kept between records, best two without sorting", "choice of holders", "cores", cores(p.costAt("cpu.record_put", s.Processes())*recordRate), cores(p.costAt("cpu.record_put_kept", s.Entries)*recordRate), LimitProcessor, fileDirectory+" Holders, "+fileProcess+" instanceCache.Entries")
	recordProcessorTime := p.costAt("cpu.record_wire", s.Marks) * recordCopies * recordRate
	add("entry: records in batches of 100 ms to 8 entries", "request records", "cores", cores(recordProcessorTime), cores(p.costAt("cpu.record_wire", s.Marks)*batchPeers*batchRate), LimitProcessor, fileDirectory+" Put")
	logTraffic := p.costAt("bytes.document", s.WorkspacesPerService()) * s.ChangeRate()
	add("relay: compressed rows in the change log", "documents read", "B/s", logTraffic, p.costAt("bytes.document_pushed", s.WorkspacesPerService())*s.ChangeRate(), LimitTraffic, fileLog)
	// A change of one workspace sends only the workspace instead of the whole document.
	documentTraffic := p.costAt("bytes.document_pushed", s.WorkspacesPerService()) * 2 * s.ChangeRate()
	add("all: a change of one workspace sent as its difference", "documents", "B/s", documentTraffic, (p.costAt("bytes.document_pushed", 0)+p.slope("bytes.document_pushed"))*2*s.ChangeRate(), LimitTraffic, fileLog)
	return out
}
