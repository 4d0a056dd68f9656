package pwqueue

import (
	"container/heap"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// indexedHeap is a heap that reports the position of each element through setPos,
// so that any element can be removed in O(log n).
type indexedHeap[T any] struct {
	items  []T
	less   func(a, b T) bool
	setPos func(v T, pos int)
}

func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setPos(h.items[i], i)
	h.setPos(h.items[j], j)
}

func (h *indexedHeap[T]) Push(v any) {
	h.setPos(v.(T), len(h.items))
	h.items = append(h.items, v.(T))
}

func (h *indexedHeap[T]) Pop() any {
	var zero T
	n := len(h.items) - 1
	v := h.items[n]
	h.items[n] = zero
	h.items = h.items[:n]
	h.setPos(v, notInHeap)
	return v
}

func (h *indexedHeap[T]) peek() T { return h.items[0] }

// notInHeap is the position of an element that is in no heap.
const notInHeap = -1

// item is one queued request.
type item struct {
	r            *pwrequest.Request
	flow         *flow
	seq          uint64
	waitingSince time.Time
	// orderTime is the time of queueing minus one ageing interval for each step of
	// priority.
	orderTime   time.Time
	tokens      int64
	requeued    bool
	flowPos     int
	deadlinePos int
}

// before orders the requests of one flow: first those that were put back, then by
// orderTime.
func (it *item) before(o *item) bool {
	switch {
	case it.requeued != o.requeued:
		return it.requeued
	case !it.orderTime.Equal(o.orderTime):
		return it.orderTime.Before(o.orderTime)
	default:
		return it.seq < o.seq
	}
}

// flow holds the waiting requests of one workspace in one length class. A flow
// without requests is idle. It is kept only while its finish tag is ahead of the
// virtual time of its class. If it were dropped earlier, a workspace that always
// has one request waiting would escape its charge.
type flow struct {
	ws        *workspace
	class     *class
	items     indexedHeap[*item]
	tokens    int64
	startTag  float64
	finishTag float64
	activePos int
	idlePos   int
}

// before orders the flows of one class by the start tag of their first request.
func (f *flow) before(o *flow) bool {
	if f.startTag != o.startTag {
		return f.startTag < o.startTag
	}
	a, b := f.items.peek(), o.items.peek()
	if a.requeued != b.requeued {
		return a.requeued
	}
	return a.seq < b.seq
}

// workspace holds the flows of one workspace and the totals of its queued requests.
type workspace struct {
	id       pwrequest.WorkspaceID
	weight   float64
	flows    [pwrequest.ClassCount]*flow
	requests int
	tokens   int64
}

// class schedules the flows of one length class by start-time fair queueing: the
// virtual time is the start tag of the last dispatched request, and each dispatched
// request advances the finish tag of its flow by its tokens divided by the weight of
// the workspace. The Queue schedules the classes themselves in the same way, by their
// startTag and share.
type class struct {
	index        pwrequest.Class
	share        float64
	active       indexedHeap[*flow]
	idle         indexedHeap[*flow]
	virtualTime  float64
	startTag     float64
	tokens       int64
	activeWeight float64
	waitingCount int
}

func newClass(index pwrequest.Class, share float64) *class {
	return &class{
		index: index,
		share: share,
		active: indexedHeap[*flow]{
			less:   (*flow).before,
			setPos: func(f *flow, pos int) { f.activePos = pos },
		},
		idle: indexedHeap[*flow]{
			less:   func(a, b *flow) bool { return a.finishTag < b.finishTag },
			setPos: func(f *flow, pos int) { f.idlePos = pos },
		},
	}
}

func newFlow(ws *workspace, c *class) *flow {
	return &flow{
		ws:    ws,
		class: c,
		items: indexedHeap[*item]{
			less:   (*item).before,
			setPos: func(it *item, pos int) { it.flowPos = pos },
		},
		activePos: notInHeap,
		idlePos:   notInHeap,
	}
}

// insert adds a request to its flow and makes the flow active.
func (c *class) insert(it *item) {
	f := it.flow
	if f.idlePos != notInHeap {
		heap.Remove(&c.idle, f.idlePos)
	}
	heap.Push(&f.items, it)
	f.tokens += it.tokens
	c.tokens += it.tokens
	c.waitingCount++
	if f.activePos == notInHeap {
		f.startTag = max(c.virtualTime, f.finishTag)
		c.activeWeight += f.ws.weight
		heap.Push(&c.active, f)
		return
	}
	if it.requeued {
		f.startTag = min(f.startTag, max(c.virtualTime, f.finishTag))
	}
	heap.Fix(&c.active, f.activePos)
}

// remove removes a request from its flow. Without further requests, the flow
// becomes idle.
func (c *class) remove(it *item) {
	f := it.flow
	heap.Remove(&f.items, it.flowPos)
	f.tokens -= it.tokens
	c.tokens -= it.tokens
	c.waitingCount--
	if f.items.Len() > 0 {
		f.startTag = max(c.virtualTime, f.finishTag)
		heap.Fix(&c.active, f.activePos)
		return
	}
	heap.Remove(&c.active, f.activePos)
	c.activeWeight -= f.ws.weight
	heap.Push(&c.idle, f)
}
