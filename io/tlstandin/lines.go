package tlstandin

import (
	"encoding/json"
	"strconv"

	"trefoillanding/core/tlwire"
)

// crossedAttempt is the attempt of what a fault mixes in.
const crossedAttempt = "another-attempt"

// lines writes token events.
type lines struct {
	attempt []byte
	crossed []byte
	seed    uint64
	index   int
	// cutAt and freezeAt are where faults stop the reader; -1 is nowhere.
	cutAt    int
	freezeAt int
	faults   *Faults
	set      tlwire.Faults
	buffer   []byte
}

func newLines(attempt string, seed uint64, first int, f *Faults) *lines {
	l := &lines{
		attempt:  prefix(attempt),
		crossed:  prefix(crossedAttempt),
		seed:     seed,
		index:    first,
		cutAt:    -1,
		freezeAt: -1,
		faults:   f,
		set:      f.Get(),
	}
	if f.draw(l.set.CutStreams) {
		l.cutAt = first + l.set.StopAfter
	}
	if f.draw(l.set.FreezeStreams) {
		l.freezeAt = first + l.set.StopAfter
	}
	return l
}

func (l *lines) reached(index int) bool {
	return index >= 0 && l.index >= index
}

// upTo returns the events that a view adds, and whether they end the answer.
func (l *lines) upTo(s view) ([]byte, bool) {
	l.buffer = l.buffer[:0]
	if s.done && l.index >= s.stop {
		l.event(l.attempt, l.index, s.finish, false)
		return l.buffer, true
	}
	for l.index < s.next && !l.reached(l.cutAt) && !l.reached(l.freezeAt) {
		l.token(s)
	}
	if s.cause != "" {
		l.buffer = append(l.buffer, l.error(s.cause)...)
		return l.buffer, true
	}
	return l.buffer, s.done && l.index >= s.stop
}

// token adds one token with the faults that are switched on.
func (l *lines) token(s view) {
	finish := ""
	if l.index == s.stop-1 {
		finish = s.finish
	}
	if l.faults.draw(l.set.CrossShare) {
		l.event(l.crossed, l.index, "", true)
	}
	if !l.faults.draw(l.set.SkipShare) {
		l.event(l.attempt, l.index, finish, true)
	}
	if l.faults.draw(l.set.RepeatShare) {
		l.event(l.attempt, l.index, finish, true)
	}
	l.index++
}

func (l *lines) event(start []byte, index int, finish string, text bool) {
	b := append(l.buffer, start...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, `,"Text":"`...)
	if text {
		b = appendToken(b, l.seed, index)
	}
	b = append(b, '"')
	if finish != "" {
		b = append(b, `,"Finish":"`...)
		b = append(b, finish...)
		b = append(b, '"')
	}
	l.buffer = append(b, '}', '\n')
}

func (l *lines) error(cause string) []byte {
	b, err := json.Marshal(tlwire.TokenEvent{Attempt: l.name(), Index: l.index, Error: cause})
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

// name returns the attempt that the lines belong to.
func (l *lines) name() string {
	var v struct{ Attempt string }
	_ = json.Unmarshal(append(append([]byte{}, l.attempt[:len(l.attempt)-len(`,"Index":`)]...), '}'), &v)
	return v.Attempt
}

// prefix returns the start of every event of an attempt.
func prefix(attempt string) []byte {
	q, err := json.Marshal(attempt)
	if err != nil {
		panic(err)
	}
	b := append([]byte(`{"Attempt":`), q...)
	return append(b, `,"Index":`...)
}
