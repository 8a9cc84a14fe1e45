package tlqueue

// flow is the queue of one organisation.
type flow[T any] struct {
	name    string
	weight  float64
	virtual float64
	lanes   [2]lane[T]
	ready   int
}

// lane is one of a flow's two queues.
type lane[T any] struct {
	items heap[*Item[T]]
	cost  Cost
	place int
}

const (
	laneOnTime = iota
	laneLate
)

func newFlow[T any](name string, weight, virtual float64) *flow[T] {
	place := func(i *Item[T]) *int { return &i.inLane }
	f := &flow[T]{name: name, weight: weight, virtual: virtual}
	f.lanes[laneOnTime].items = newHeap(byRank[T], place)
	f.lanes[laneLate].items = newHeap(byArrival[T], place)
	return f
}

// first returns the item of a lane that goes first.
func (f *flow[T]) first(l int) *Item[T] {
	return f.lanes[l].items.items[0]
}

func (f *flow[T]) isIdle() bool {
	return f.lanes[laneOnTime].items.len()+f.lanes[laneLate].items.len() == 0
}

func laneOf(late bool) int {
	if late {
		return laneLate
	}
	return laneOnTime
}
