package tlqueue

// flow holds the waiting requests of one organisation and its virtual time for fair queueing.
type flow[T any] struct {
	name             string
	weight           float64
	virtualTime      float64
	lanes            [2]lane[T]
	eligiblePosition int
}

// lane holds a flow's items of one lane, either on time or late.
type lane[T any] struct {
	items    heap[*Item[T]]
	cost     Cost
	position int
}

const (
	laneOnTime = iota
	laneLate
)

func newFlow[T any](name string, weight, virtualTime float64) *flow[T] {
	position := func(i *Item[T]) *int { return &i.lanePosition }
	f := &flow[T]{name: name, weight: weight, virtualTime: virtualTime}
	f.lanes[laneOnTime].items = newHeap(byRank[T], position)
	f.lanes[laneLate].items = newHeap(byArrival[T], position)
	return f
}

// first returns the item at the head of a lane that is not empty.
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
