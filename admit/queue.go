package admit

import (
	"container/heap"
	"slices"
	"time"
)

// maxIdleFlows bounds the flows without waiting requests whose virtual start time
// is kept. Dropping one waives the cost of a single request.
const maxIdleFlows = 64

// waiter is a queued request.
type waiter struct {
	request  Request
	estimate *estimate
	counts   *Counts
	cost     float64
	// latestStart is when the request must start to end before its deadline.
	latestStart time.Time
	flow        *flow
	index       int           // in flow.waiters
	done        chan struct{} // closed when ticket or err is set
	ticket      *Ticket
	err         error
}

// resolve ends the wait with a ticket or an error.
func (w *waiter) resolve(t *Ticket, err error) {
	w.ticket, w.err = t, err
	close(w.done)
}

// earlier orders requests by deadline; a request without one comes last.
func (w *waiter) earlier(o *waiter) bool {
	a, b := w.request.Deadline, o.request.Deadline
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	return a.Before(b)
}

func (w *waiter) setIndex(i int) { w.index = i }

// flow holds the waiting requests of one class and tenant, ordered by deadline.
type flow struct {
	level        *level
	waiters      indexedHeap[*waiter]
	virtualStart float64 // virtual start time of the next request
	index        int     // in level.flows, -1 while nothing waits
}

// earlier orders flows by virtual start time, then by the deadline of their first
// request.
func (f *flow) earlier(o *flow) bool {
	if f.virtualStart != o.virtualStart || len(f.waiters) == 0 || len(o.waiters) == 0 {
		return f.virtualStart < o.virtualStart
	}
	return f.waiters[0].earlier(o.waiters[0])
}

func (f *flow) setIndex(i int) { f.index = i }

// level holds the waiting requests of one priority. Its flows share the slots by
// start-time fair queueing: the flow with the lowest virtual start time is next,
// and each request taken advances its flow by the expected service time.
type level struct {
	priority    int
	size        int
	virtualTime float64
	flows       indexedHeap[*flow]
	byLabel     map[Label]*flow
}

// queue orders waiting requests by priority, then by fair share between flows,
// then by deadline within a flow and between flows with equal virtual start times.
type queue struct {
	size   int
	levels []*level // by descending priority
}

func (q *queue) findLevel(priority int) (int, bool) {
	return slices.BinarySearchFunc(q.levels, priority, func(v *level, p int) int { return p - v.priority })
}

func (q *queue) push(w *waiter, cost float64) {
	i, ok := q.findLevel(w.request.Priority)
	if !ok {
		v := &level{priority: w.request.Priority, byLabel: make(map[Label]*flow)}
		q.levels = slices.Insert(q.levels, i, v)
	}
	v := q.levels[i]
	k := Label{w.request.Class, w.request.Tenant}
	f := v.byLabel[k]
	if f == nil {
		f = &flow{level: v, index: -1}
		v.byLabel[k] = f
	}
	w.flow, w.cost = f, cost
	heap.Push(&f.waiters, w)
	if f.index < 0 {
		f.virtualStart = max(f.virtualStart, v.virtualTime)
		heap.Push(&v.flows, f)
	} else {
		heap.Fix(&v.flows, f.index)
	}
	v.size++
	q.size++
}

// pop removes and returns the next request; it returns nil if the queue is empty.
func (q *queue) pop() *waiter {
	for _, v := range q.levels {
		if v.size == 0 {
			continue
		}
		f := v.flows[0]
		w := f.waiters[0]
		v.virtualTime = f.virtualStart
		f.virtualStart += w.cost
		q.remove(w)
		return w
	}
	return nil
}

func (q *queue) remove(w *waiter) {
	f := w.flow
	v := f.level
	heap.Remove(&f.waiters, w.index)
	q.size--
	v.size--
	if len(f.waiters) > 0 {
		heap.Fix(&v.flows, f.index)
		return
	}
	heap.Remove(&v.flows, f.index)
	if len(v.byLabel) > 2*len(v.flows)+maxIdleFlows {
		for k, idle := range v.byLabel {
			if idle.index < 0 {
				delete(v.byLabel, k)
			}
		}
	}
}

// ahead estimates how many waiting requests are served before r. Flows of equal
// priority alternate, so the backlog of one flow does not count in full for another.
func (q *queue) ahead(r Request) int {
	n := 0
	for _, v := range q.levels {
		if v.priority > r.Priority {
			n += v.size
			continue
		}
		if v.priority < r.Priority {
			break
		}
		own, flows := 0, len(v.flows)
		if f := v.byLabel[Label{r.Class, r.Tenant}]; f != nil && f.index >= 0 {
			own = len(f.waiters)
			flows--
		}
		n += min(v.size, own+(own+1)*flows)
	}
	return n
}

// victim returns the request to evict in favour of r when the queue is full: one
// of the lowest priority below that of r, or else one of a longer flow of the same
// priority. It returns nil if r must be refused instead.
func (q *queue) victim(r Request) *waiter {
	for _, v := range slices.Backward(q.levels) {
		if v.size == 0 {
			continue
		}
		if v.priority > r.Priority {
			return nil
		}
		longest := slices.MaxFunc(v.flows, func(a, b *flow) int { return len(a.waiters) - len(b.waiters) })
		if v.priority == r.Priority {
			own := 0
			if f := v.byLabel[Label{r.Class, r.Tenant}]; f != nil {
				own = len(f.waiters)
			}
			if len(longest.waiters) <= own+1 {
				return nil
			}
		}
		return longest.latest()
	}
	return nil
}

// latest returns the request of the flow with the latest deadline.
func (f *flow) latest() *waiter {
	return slices.MaxFunc(f.waiters, func(a, b *waiter) int {
		switch {
		case a.earlier(b):
			return -1
		case b.earlier(a):
			return 1
		}
		return 0
	})
}
