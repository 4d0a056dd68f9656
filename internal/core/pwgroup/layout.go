package pwgroup

import "github.com/pomeloweir/pomeloweir/internal/core/pwverdict"

// layout divides a prompt between the members and each member's part into segments.
type layout struct {
	members []memberPart
	// segmentEnds holds the prompt offset after each segment, in tokens.
	segmentEnds []int64
}

// memberPart is the part of one member: its memory in tokens and its segments
// [firstSegment, endSegment).
type memberPart struct {
	tokens                   int64
	firstSegment, endSegment int
}

// newLayout uses as few members as possible. The last member also holds the output
// and gets a smaller part of the prompt for it.
func newLayout(cfg Config, prompt, output int64) (layout, *pwverdict.Error) {
	if prompt <= 0 || output < 0 || prompt > cfg.MaxPromptTokens || output > cfg.MemberTokens {
		return layout{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"prompt must have 1 to %d tokens and output 0 to %d, found %d and %d",
			cfg.MaxPromptTokens, cfg.MemberTokens, prompt, output)
	}
	total := prompt + output
	n := ceilDiv(total, cfg.MemberTokens)
	if n > int64(cfg.MaxMembers) {
		return layout{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"%d tokens need %d members, at most %d are allowed", total, n, cfg.MaxMembers)
	}
	lastPrompt := prompt
	if n > 1 {
		lastPrompt = max(0, ceilDiv(total, n)-output)
	}
	var l layout
	left := prompt
	for i := range n {
		share, tokens := lastPrompt, lastPrompt+output
		if i < n-1 {
			share = ceilDiv(left-lastPrompt, n-1-i)
			tokens = share
		}
		first := len(l.segmentEnds)
		l.appendSegments(prompt-left, share, cfg.SegmentTokens)
		left -= share
		l.members = append(l.members, memberPart{
			tokens:       tokens,
			firstSegment: first,
			endSegment:   len(l.segmentEnds),
		})
	}
	return l, nil
}

// appendSegments appends segments of equal size, up to rounding, that cover n
// tokens from start. None is larger than largest.
func (l *layout) appendSegments(start, n, largest int64) {
	count := ceilDiv(n, largest)
	for i := range count {
		l.segmentEnds = append(l.segmentEnds, start+n*(i+1)/count)
	}
}

// segmentStart returns the prompt offset at which a segment starts.
func (l *layout) segmentStart(segment int) int64 {
	if segment == 0 {
		return 0
	}
	return l.segmentEnds[segment-1]
}

// memberOf returns the member that prefills a segment.
func (l *layout) memberOf(segment int) int {
	for i, m := range l.members {
		if segment < m.endSegment {
			return i
		}
	}
	return len(l.members) - 1
}

// ceilDiv returns a/b rounded up.
func ceilDiv(a, b int64) int64 { return (a + b - 1) / b }
