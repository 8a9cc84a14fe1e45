package tlqueue

import "time"

// Item is one waiting request.
type Item[T any] struct {
	// Value is the request.
	Value T
	// Organisation is who pays for it.
	Organisation string
	// Arrived is when it came.
	Arrived time.Time
	// StartDeadline is when it must start to meet its target.
	StartDeadline time.Time
	// Rank orders an organisation's items that are on time; it is Latest, put off by what the item costs others.
	Rank time.Time
	// Cost is what it will probably take.
	Cost Cost

	late     bool
	sequence uint64
	flow     *flow[T]
	inLane   int
	inTimer  int
}

// Late says whether the item is in the lane of those that can't meet their target.
func (i *Item[T]) Late() bool {
	return i.late
}

func byRank[T any](a, b *Item[T]) bool {
	if !a.Rank.Equal(b.Rank) {
		return a.Rank.Before(b.Rank)
	}
	return a.sequence < b.sequence
}

func byLatest[T any](a, b *Item[T]) bool {
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
