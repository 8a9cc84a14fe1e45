package tlquarantine

import (
	"container/list"
	"iter"
)

// bounded holds a value for each of at most max parts; the one that was set longest ago
// yields.
type bounded[V any] struct {
	max    int
	byPart map[string]*list.Element
	order  *list.List
}

// entry is a part and its value.
type entry[V any] struct {
	part  string
	value V
}

func newBounded[V any](most int) *bounded[V] {
	return &bounded[V]{max: most, byPart: map[string]*list.Element{}, order: list.New()}
}

func (s *bounded[V]) isEmpty() bool {
	return len(s.byPart) == 0
}

func (s *bounded[V]) of(part string) (V, bool) {
	e := s.byPart[part]
	if e == nil {
		var none V
		return none, false
	}
	return e.Value.(*entry[V]).value, true
}

func (s *bounded[V]) set(part string, v V) {
	if e := s.byPart[part]; e != nil {
		e.Value.(*entry[V]).value = v
		s.order.MoveToBack(e)
		return
	}
	s.byPart[part] = s.order.PushBack(&entry[V]{part, v})
	if s.order.Len() > s.max {
		s.remove(s.order.Front().Value.(*entry[V]).part)
	}
}

func (s *bounded[V]) remove(part string) {
	if e := s.byPart[part]; e != nil {
		s.order.Remove(e)
		delete(s.byPart, part)
	}
}

// all returns all parts with their values, the one that was set longest ago first.
func (s *bounded[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for e := s.order.Front(); e != nil; e = e.Next() {
			k := e.Value.(*entry[V])
			if !yield(k.part, k.value) {
				return
			}
		}
	}
}
