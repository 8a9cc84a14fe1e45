package tlquarantine

import (
	"container/list"
	"iter"
	"time"
)

// times holds a time for each of at most maxParts parts; the one that was set longest
// ago yields.
type times struct {
	byPart map[string]*list.Element
	order  *list.List
}

// timed is a part and its time.
type timed struct {
	part string
	time time.Time
}

func newTimes() *times {
	return &times{byPart: map[string]*list.Element{}, order: list.New()}
}

func (s *times) isEmpty() bool {
	return len(s.byPart) == 0
}

func (s *times) of(part string) (time.Time, bool) {
	e := s.byPart[part]
	if e == nil {
		return time.Time{}, false
	}
	return e.Value.(*timed).time, true
}

func (s *times) set(part string, t time.Time) {
	if e := s.byPart[part]; e != nil {
		e.Value.(*timed).time = t
		s.order.MoveToBack(e)
		return
	}
	s.byPart[part] = s.order.PushBack(&timed{part, t})
	if s.order.Len() > maxParts {
		s.remove(s.order.Front().Value.(*timed).part)
	}
}

func (s *times) remove(part string) {
	if e := s.byPart[part]; e != nil {
		s.order.Remove(e)
		delete(s.byPart, part)
	}
}

// all returns all parts with their times, the one that was set longest ago first.
func (s *times) all() iter.Seq2[string, time.Time] {
	return func(yield func(string, time.Time) bool) {
		for e := s.order.Front(); e != nil; e = e.Next() {
			k := e.Value.(*timed)
			if !yield(k.part, k.time) {
				return
			}
		}
	}
}
