package tlqueue

import "time"

// Queue holds what waits for one pool.
type Queue[T any] struct {
	weights  map[string]float64
	share    float64
	credit   float64
	virtual  float64
	sequence uint64
	flows    map[string]*flow[T]
	lanes    [2]heap[*flow[T]]
	ready    heap[*flow[T]]
	weight   [2]float64
	length   [2]int
	total    [2]Cost
	timers   heap[*Item[T]]
	oldest   heap[*Item[T]]
}

const (
	defaultWeight = 1
	// mostCredit bounds, in seconds of the pool, what the late lane may have saved up.
	mostCredit = 0.5
	// mostLead bounds, in seconds of the pool, how far behind the others an idle organisation may fall.
	mostLead = 0.25
)

// New returns a queue with the organisations' weights and the share of the late lane.
func New[T any](weights map[string]float64, share float64) *Queue[T] {
	q := &Queue[T]{weights: weights, share: share, flows: make(map[string]*flow[T])}
	for l := range q.lanes {
		q.lanes[l] = newHeap(
			func(a, b *flow[T]) bool {
				if a.virtual != b.virtual {
					return a.virtual < b.virtual
				}
				return a.name < b.name
			},
			func(f *flow[T]) *int { return &f.lanes[l].place })
	}
	q.ready = newHeap(
		func(a, b *flow[T]) bool { return byRank(a.first(laneOnTime), b.first(laneOnTime)) },
		func(f *flow[T]) *int { return &f.ready })
	q.timers = newHeap(byLatest[T], func(i *Item[T]) *int { return &i.inTimer })
	q.oldest = newHeap(byArrival[T], func(i *Item[T]) *int { return &i.inTimer })
	return q
}

// SetWeights replaces the organisations' weights.
func (q *Queue[T]) SetWeights(weights map[string]float64) {
	q.weights = weights
	for _, f := range q.flows {
		for l := range q.lanes {
			if f.lanes[l].items.len() > 0 {
				q.weight[l] += q.weightOf(f.name) - f.weight
			}
		}
		f.weight = q.weightOf(f.name)
	}
}

func (q *Queue[T]) weightOf(name string) float64 {
	if w := q.weights[name]; w > 0 {
		return w
	}
	return defaultWeight
}

// Push adds an item that is not in the queue, late or not as it says by itself.
func (q *Queue[T]) Push(now time.Time, i *Item[T]) {
	q.sequence++
	i.sequence = q.sequence
	i.late = now.After(i.StartDeadline)
	q.enter(i)
}

// Return puts an item that was popped back into its place.
func (q *Queue[T]) Return(i *Item[T]) {
	q.enter(i)
}

func (q *Queue[T]) enter(i *Item[T]) {
	f := q.flow(i.Organisation)
	l := laneOf(i.late)
	i.flow = f
	f.lanes[l].items.push(i)
	f.lanes[l].cost = f.lanes[l].cost.Plus(i.Cost)
	q.length[l]++
	q.total[l] = q.total[l].Plus(i.Cost)
	if f.lanes[l].items.len() == 1 {
		q.lanes[l].push(f)
		q.weight[l] += f.weight
	}
	q.ready.fix(f)
	q.timer(i).push(i)
}

// timer returns the heap that says which item of a lane's is due next.
func (q *Queue[T]) timer(i *Item[T]) *heap[*Item[T]] {
	if i.late {
		return &q.oldest
	}
	return &q.timers
}

func (q *Queue[T]) flow(name string) *flow[T] {
	f := q.flows[name]
	if f == nil {
		f = newFlow[T](name, q.weightOf(name), q.virtual)
		q.flows[name] = f
	}
	if f.isIdle() {
		f.virtual = max(f.virtual, q.virtual-mostLead/f.weight)
	}
	return f
}

// Remove takes an item out; it does nothing for one that is not in the queue.
func (q *Queue[T]) Remove(i *Item[T]) {
	f := i.flow
	if f == nil {
		return
	}
	l := laneOf(i.late)
	f.lanes[l].items.remove(i)
	f.lanes[l].cost = f.lanes[l].cost.Minus(i.Cost)
	q.length[l]--
	q.total[l] = q.total[l].Minus(i.Cost)
	q.timer(i).remove(i)
	i.flow = nil
	if f.lanes[l].items.len() == 0 {
		f.lanes[l].cost = Cost{}
		q.lanes[l].remove(f)
		q.weight[l] -= f.weight
		if l == laneOnTime {
			q.ready.remove(f)
		}
	}
	q.ready.fix(f)
}

// Pop takes out the next item of a lane, or returns nil.
func (q *Queue[T]) Pop(late bool) *Item[T] {
	f := q.next(laneOf(late))
	if f == nil {
		return nil
	}
	i := f.first(laneOf(late))
	q.Remove(i)
	return i
}

// next returns the organisation whose turn it is in a lane: on time, the one
// of the first rank of those that got no more than their share, otherwise
// the one that got least.
func (q *Queue[T]) next(l int) *flow[T] {
	if l == laneOnTime {
		for q.lanes[l].len() > 0 && q.lanes[l].items[0].virtual <= q.virtual {
			f := q.lanes[l].items[0]
			q.lanes[l].remove(f)
			q.ready.push(f)
		}
		if q.ready.len() > 0 {
			return q.ready.items[0]
		}
	}
	if q.lanes[l].len() == 0 {
		return nil
	}
	return q.lanes[l].items[0]
}

// PopOverdue takes out the next item that has become late by now, or returns nil.
func (q *Queue[T]) PopOverdue(now time.Time) *Item[T] {
	if q.timers.len() == 0 || !now.After(q.timers.items[0].StartDeadline) {
		return nil
	}
	i := q.timers.items[0]
	q.Remove(i)
	i.late = true
	return i
}

// NextStartDeadline returns when the next item becomes late, or zero.
func (q *Queue[T]) NextStartDeadline() time.Time {
	if q.timers.len() == 0 {
		return time.Time{}
	}
	return q.timers.items[0].StartDeadline
}

// NewestLate returns the last item that an organisation has in the late lane, or nil.
func (q *Queue[T]) NewestLate(organisation string) *Item[T] {
	f := q.flows[organisation]
	if f == nil {
		return nil
	}
	var n *Item[T]
	for _, i := range f.lanes[laneLate].items.items {
		if n == nil || byArrival(n, i) {
			n = i
		}
	}
	return n
}

// Charge counts the cost of an item that was started against its organisation.
func (q *Queue[T]) Charge(organisation string, late bool, c Cost) {
	f := q.flow(organisation)
	if !late {
		q.credit = min(q.credit+q.share*c.Bottleneck(), mostCredit)
	} else {
		q.credit = max(q.credit-c.Bottleneck(), -mostCredit)
	}
	q.virtual = max(q.virtual, f.virtual)
	q.move(f, f.virtual+c.Sum()/f.weight)
}

// Correct adds what an item cost beyond its charge; it may be below zero.
func (q *Queue[T]) Correct(organisation string, delta float64) {
	f := q.flows[organisation]
	if f == nil {
		return
	}
	q.move(f, f.virtual+delta/f.weight)
}

func (q *Queue[T]) move(f *flow[T], virtual float64) {
	f.virtual = virtual
	if q.ready.has(f) && virtual > q.virtual {
		q.ready.remove(f)
		q.lanes[laneOnTime].push(f)
	}
	for l := range q.lanes {
		q.lanes[l].fix(f)
	}
	if f.isIdle() && f.virtual <= q.virtual {
		delete(q.flows, f.name)
	}
}

// LateLaneDue says whether the late lane has saved up its share.
func (q *Queue[T]) LateLaneDue() bool {
	return q.credit > 0 && q.length[laneLate] > 0
}

// Len counts the items of a lane.
func (q *Queue[T]) Len(late bool) int {
	return q.length[laneOf(late)]
}

// Total returns the cost of all that waits in a lane.
func (q *Queue[T]) Total(late bool) Cost {
	return q.total[laneOf(late)]
}

// Backlog returns the cost that an organisation has waiting in the lane of
// those on time, and its share of the weights of all that wait there, itself included.
func (q *Queue[T]) Backlog(organisation string) (c Cost, share float64) {
	f := q.flows[organisation]
	if f == nil || f.lanes[laneOnTime].items.len() == 0 {
		w := q.weightOf(organisation)
		return Cost{}, w / (w + q.weight[laneOnTime])
	}
	return f.lanes[laneOnTime].cost, f.weight / q.weight[laneOnTime]
}

// LargestLateBacklog returns the organisation with most waiting in the late lane, in relation to its weight.
func (q *Queue[T]) LargestLateBacklog() (organisation string, cost float64) {
	for _, f := range q.lanes[laneLate].items {
		if c := f.lanes[laneLate].cost.Bottleneck() / f.weight; c > cost || (c == cost && f.name < organisation) {
			organisation, cost = f.name, c
		}
	}
	return organisation, cost
}

// LateBacklog returns the cost that an organisation has waiting in the late lane, in relation to its weight.
func (q *Queue[T]) LateBacklog(organisation string) float64 {
	f := q.flows[organisation]
	if f == nil {
		return 0
	}
	return f.lanes[laneLate].cost.Bottleneck() / f.weight
}

// PopLateArrivedBefore takes out the late item that came first if it came before t, or returns nil.
func (q *Queue[T]) PopLateArrivedBefore(t time.Time) *Item[T] {
	if q.oldest.len() == 0 || !q.oldest.items[0].Arrived.Before(t) {
		return nil
	}
	i := q.oldest.items[0]
	q.Remove(i)
	return i
}

// LargestBacklog returns the organisation with most waiting in both lanes, in relation to its weight.
func (q *Queue[T]) LargestBacklog() string {
	var b *flow[T]
	var most float64
	for _, f := range q.flows {
		c := f.lanes[laneOnTime].cost.Plus(f.lanes[laneLate].cost).Sum() / f.weight
		if b == nil || c > most || (c == most && f.name < b.name) {
			b, most = f, c
		}
	}
	if b == nil {
		return ""
	}
	return b.name
}
