package tlmember

import (
	"cmp"
	"slices"
	"time"
)

// forwards is how often an instance tells one figure on.
const forwards = 3

// Board holds the latest figure of each name, such as a pool's wait, and picks
// which ones to tell on; it is not safe for concurrent use.
type Board[T any] struct {
	posts map[string]*post[T]
}

type post[T any] struct {
	name  string
	value T
	at    time.Time
	told  int
}

// NewBoard returns an empty board.
func NewBoard[T any]() *Board[T] {
	return &Board[T]{posts: map[string]*post[T]{}}
}

// Put takes in a figure as it was at a time; older figures are ignored.
func (b *Board[T]) Put(name string, value T, at time.Time) {
	p := b.posts[name]
	if p != nil && !at.After(p.at) {
		return
	}
	b.posts[name] = &post[T]{name: name, value: value, at: at}
}

// Get returns the latest figure and its time.
func (b *Board[T]) Get(name string) (T, time.Time, bool) {
	p := b.posts[name]
	if p == nil {
		var none T
		return none, time.Time{}, false
	}
	return p.value, p.at, true
}

// NextToSend returns at most limit names whose figures are to be told on, those told
// least often first, and counts them as told.
func (b *Board[T]) NextToSend(limit int) []string {
	var open []*post[T]
	for _, p := range b.posts {
		if p.told < forwards {
			open = append(open, p)
		}
	}
	slices.SortFunc(open, func(p, q *post[T]) int {
		return cmp.Or(cmp.Compare(p.told, q.told), q.at.Compare(p.at), cmp.Compare(p.name, q.name))
	})
	var names []string
	for _, p := range open[:min(limit, len(open))] {
		p.told++
		names = append(names, p.name)
	}
	return names
}

// Forget drops the figures that are older than a time.
func (b *Board[T]) Forget(before time.Time) {
	for name, p := range b.posts {
		if p.at.Before(before) {
			delete(b.posts, name)
		}
	}
}
