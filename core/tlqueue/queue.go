package tlqueue

import "time"

// Queue holds the requests that wait for one pool.
type Queue[T any] struct {
	weights        map[string]float64
	lateShare      float64
	lateCredit     float64
	virtualTime    float64
	sequence       uint64
	flows          map[string]*flow[T]
	lanes          [2]heap[*flow[T]]
	eligible       heap[*flow[T]]
	laneWeight     [2]float64
	laneLength     [2]int
	laneCost       [2]Cost
	startDeadlines heap[*Item[T]]
	lateArrivals   heap[*Item[T]]
}

const (
	defaultWeight = 1
	// maxLateCreditSeconds bounds the late lane's credit and debt, in seconds of the whole pool.
	maxLateCreditSeconds = 0.5
	// maxIdleLagSeconds bounds the cost, in seconds of the whole pool, by which an idle organisation may lag the others and catch up later.
	maxIdleLagSeconds = 0.25
)

// New returns a queue with the organisations' weights and the late lane's share of the pool, from 0 to 1.
func New[T any](weights map[string]float64, lateShare float64) *Queue[T] {
	q := &Queue[T]{weights: weights, lateShare: lateShare, flows: make(map[string]*flow[T])}
	for l := range q.lanes {
		q.lanes[l] = newHeap(
			func(a, b *flow[T]) bool {
				if a.virtualTime != b.virtualTime {
					return a.virtualTime < b.virtualTime
				}
				return a.name < b.name
			},
			func(f *flow[T]) *int { return &f.lanes[l].position })
	}
	q.eligible = newHeap(
		func(a, b *flow[T]) bool { return byRank(a.first(laneOnTime), b.first(laneOnTime)) },
		func(f *flow[T]) *int { return &f.eligiblePosition })
	q.startDeadlines = newHeap(byStartDeadline[T], func(i *Item[T]) *int { return &i.timePosition })
	q.lateArrivals = newHeap(byArrival[T], func(i *Item[T]) *int { return &i.timePosition })
	return q
}

// SetWeights replaces the organisations' weights; an organisation without a positive weight has weight 1.
func (q *Queue[T]) SetWeights(weights map[string]float64) {
	q.weights = weights
	for _, f := range q.flows {
		for l := range q.lanes {
			if f.lanes[l].items.len() > 0 {
				q.laneWeight[l] += q.weightOf(f.name) - f.weight
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

// Push adds an item that is not in the queue, to the late lane if its start deadline has passed.
func (q *Queue[T]) Push(now time.Time, i *Item[T]) {
	q.sequence++
	i.sequence = q.sequence
	i.late = now.After(i.StartDeadline)
	q.insert(i)
}

// Return puts a popped item back into its lane with its original order.
func (q *Queue[T]) Return(i *Item[T]) {
	q.insert(i)
}

func (q *Queue[T]) insert(i *Item[T]) {
	f := q.flow(i.Organisation)
	l := laneOf(i.late)
	i.flow = f
	f.lanes[l].items.push(i)
	f.lanes[l].cost = f.lanes[l].cost.Plus(i.Cost)
	q.laneLength[l]++
	q.laneCost[l] = q.laneCost[l].Plus(i.Cost)
	if f.lanes[l].items.len() == 1 {
		q.lanes[l].push(f)
		q.laneWeight[l] += f.weight
	}
	q.eligible.fix(f)
	q.timeHeap(i).push(i)
}

// timeHeap returns the heap for the item's lane: start deadlines for on-time items, arrival times for late ones.
func (q *Queue[T]) timeHeap(i *Item[T]) *heap[*Item[T]] {
	if i.late {
		return &q.lateArrivals
	}
	return &q.startDeadlines
}

func (q *Queue[T]) flow(name string) *flow[T] {
	f := q.flows[name]
	if f == nil {
		f = newFlow[T](name, q.weightOf(name), q.virtualTime)
		q.flows[name] = f
	}
	if f.isIdle() {
		f.virtualTime = max(f.virtualTime, q.virtualTime-maxIdleLagSeconds/f.weight)
	}
	return f
}

// Remove removes an item; it does nothing if the item is not in the queue.
func (q *Queue[T]) Remove(i *Item[T]) {
	f := i.flow
	if f == nil {
		return
	}
	l := laneOf(i.late)
	f.lanes[l].items.remove(i)
	f.lanes[l].cost = f.lanes[l].cost.Minus(i.Cost)
	q.laneLength[l]--
	q.laneCost[l] = q.laneCost[l].Minus(i.Cost)
	q.timeHeap(i).remove(i)
	i.flow = nil
	if f.lanes[l].items.len() == 0 {
		f.lanes[l].cost = Cost{}
		q.lanes[l].remove(f)
		q.laneWeight[l] -= f.weight
		if l == laneOnTime {
			q.eligible.remove(f)
		}
	}
	q.eligible.fix(f)
}

// Pop removes and returns the next item of a lane, or returns nil.
func (q *Queue[T]) Pop(late bool) *Item[T] {
	f := q.nextFlow(laneOf(late))
	if f == nil {
		return nil
	}
	i := f.first(laneOf(late))
	q.Remove(i)
	return i
}

// nextFlow returns the organisation to serve next in a lane. In the on-time lane
// it is the one whose first item has the earliest rank, among those that have
// used no more than their share; otherwise, and in the late lane, the one with
// the lowest virtual time.
func (q *Queue[T]) nextFlow(l int) *flow[T] {
	if l == laneOnTime {
		for q.lanes[l].len() > 0 && q.lanes[l].items[0].virtualTime <= q.virtualTime {
			f := q.lanes[l].items[0]
			q.lanes[l].remove(f)
			q.eligible.push(f)
		}
		if q.eligible.len() > 0 {
			return q.eligible.items[0]
		}
	}
	if q.lanes[l].len() == 0 {
		return nil
	}
	return q.lanes[l].items[0]
}

// PopOverdue removes and returns the on-time item with the earliest start deadline if that has passed, marked as late, or returns nil.
func (q *Queue[T]) PopOverdue(now time.Time) *Item[T] {
	if q.startDeadlines.len() == 0 || !now.After(q.startDeadlines.items[0].StartDeadline) {
		return nil
	}
	i := q.startDeadlines.items[0]
	q.Remove(i)
	i.late = true
	return i
}

// NextStartDeadline returns the earliest start deadline in the on-time lane, or the zero time.
func (q *Queue[T]) NextStartDeadline() time.Time {
	if q.startDeadlines.len() == 0 {
		return time.Time{}
	}
	return q.startDeadlines.items[0].StartDeadline
}

// NewestLate returns an organisation's most recently arrived item in the late lane, or nil.
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

// Charge charges an organisation for a started item and updates the late lane's credit.
func (q *Queue[T]) Charge(organisation string, late bool, c Cost) {
	f := q.flow(organisation)
	if !late {
		q.lateCredit = min(q.lateCredit+q.lateShare*c.Bottleneck(), maxLateCreditSeconds)
	} else {
		q.lateCredit = max(q.lateCredit-c.Bottleneck(), -maxLateCreditSeconds)
	}
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	q.setVirtualTime(f, f.virtualTime+c.Sum()/f.weight)
}

// Correct adjusts an organisation's charge by the actual minus the predicted cost, in seconds; delta may be negative.
func (q *Queue[T]) Correct(organisation string, delta float64) {
	f := q.flows[organisation]
	if f == nil {
		return
	}
	q.setVirtualTime(f, f.virtualTime+delta/f.weight)
}

func (q *Queue[T]) setVirtualTime(f *flow[T], virtualTime float64) {
	f.virtualTime = virtualTime
	if q.eligible.has(f) && virtualTime > q.virtualTime {
		q.eligible.remove(f)
		q.lanes[laneOnTime].push(f)
	}
	for l := range q.lanes {
		q.lanes[l].fix(f)
	}
	if f.isIdle() && f.virtualTime <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

// LateLaneDue reports whether the late lane has items and unused credit from its share of the pool.
func (q *Queue[T]) LateLaneDue() bool {
	return q.lateCredit > 0 && q.laneLength[laneLate] > 0
}

// Len returns the number of items in a lane.
func (q *Queue[T]) Len(late bool) int {
	return q.laneLength[laneOf(late)]
}

// Total returns the summed cost of the items in a lane.
func (q *Queue[T]) Total(late bool) Cost {
	return q.laneCost[laneOf(late)]
}

// Backlog returns the cost that an organisation has waiting in the on-time lane,
// and its weight as a share of the weights of all organisations waiting there, itself included.
func (q *Queue[T]) Backlog(organisation string) (c Cost, share float64) {
	f := q.flows[organisation]
	if f == nil || f.lanes[laneOnTime].items.len() == 0 {
		w := q.weightOf(organisation)
		return Cost{}, w / (w + q.laneWeight[laneOnTime])
	}
	return f.lanes[laneOnTime].cost, f.weight / q.laneWeight[laneOnTime]
}

// LargestLateBacklog returns the organisation with the largest bottleneck cost per unit of weight waiting in the late lane, and that cost in seconds.
func (q *Queue[T]) LargestLateBacklog() (organisation string, cost float64) {
	for _, f := range q.lanes[laneLate].items {
		if c := f.lanes[laneLate].cost.Bottleneck() / f.weight; c > cost || (c == cost && f.name < organisation) {
			organisation, cost = f.name, c
		}
	}
	return organisation, cost
}

// LateBacklog returns the bottleneck cost per unit of weight that an organisation has waiting in the late lane, in seconds.
func (q *Queue[T]) LateBacklog(organisation string) float64 {
	f := q.flows[organisation]
	if f == nil {
		return 0
	}
	return f.lanes[laneLate].cost.Bottleneck() / f.weight
}

// PopLateArrivedBefore removes and returns the late item that arrived first if it arrived before t, or returns nil.
func (q *Queue[T]) PopLateArrivedBefore(t time.Time) *Item[T] {
	if q.lateArrivals.len() == 0 || !q.lateArrivals.items[0].Arrived.Before(t) {
		return nil
	}
	i := q.lateArrivals.items[0]
	q.Remove(i)
	return i
}

// LargestBacklog returns the organisation with the largest total cost per unit of weight waiting in both lanes, or "" if nothing waits.
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
