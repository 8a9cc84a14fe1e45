package tlqueue

import "time"

// Item is one waiting request.
type Item[T any] struct {
	// Value is the request.
	Value T
	// Organisation is the organisation that is charged for the request.
	Organisation string
	// Arrived is when the request arrived.
	Arrived time.Time
	// StartDeadline is when the request must start at the latest to meet its target.
	StartDeadline time.Time
	// Rank orders an organisation's on-time items; it is StartDeadline plus a delay for what the item costs others.
	Rank time.Time
	// Cost is the predicted cost.
	Cost Cost

	late         bool
	sequence     uint64
	flow         *flow[T]
	lanePosition int
	timePosition int
}

// Late reports whether the item belongs to the late lane, of requests that can no longer meet their target.
func (i *Item[T]) Late() bool {
	return i.late
}

func byRank[T any](a, b *Item[T]) bool {
	if !a.Rank.Equal(b.Rank) {
		return a.Rank.Before(b.Rank)
	}
	return a.sequence < b.sequence
}

func byStartDeadline[T any](a, b *Item[T]) bool {
	if !a.StartDeadline.Equal(b.StartDeadline) {
		return a.StartDeadline.Before(b.StartDeadline)
	}
	return a.sequence < b.sequence
}

func byArrival[T any](a, b *Item[T]) bool {
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.sequence < b.sequence
}
