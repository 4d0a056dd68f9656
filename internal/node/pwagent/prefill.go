package pwagent

// prefillTracker determines which prefills ran without others on the engine. The time
// to the first token of the other prefills includes waiting for concurrent chunks and
// does not show whether the server is cold: under long prompts such times made warm
// servers look cold.
type prefillTracker struct {
	running    int
	startCount uint64
}

// prefill is one prefill in progress.
type prefill struct {
	startedAlone bool
	seq          uint64
}

// start registers a prefill that starts now.
func (p *prefillTracker) start() prefill {
	p.running++
	p.startCount++
	return prefill{
		startedAlone: p.running == 1,
		seq:          p.startCount,
	}
}

// end ends a prefill and reports whether no other prefill ran at the same time.
func (p *prefillTracker) end(f prefill) bool {
	p.running--
	return f.startedAlone && f.seq == p.startCount
}
