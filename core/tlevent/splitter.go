package tlevent

import "bytes"

var (
	endOfEvent = []byte("\n\n")
	endOfLine  = []byte("\n")
	fieldID    = []byte("id:")
)

// Splitter takes the bytes of a stream as they come; its zero value is ready for use.
type Splitter struct {
	pending []byte
	last    string
}

// Add takes in bytes and returns the whole events that they complete; the
// result is valid until the next call.
func (s *Splitter) Add(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	if len(s.pending) == 0 {
		return s.split(b)
	}
	return s.split(append(s.pending, b...))
}

func (s *Splitter) split(all []byte) []byte {
	end := bytes.LastIndex(all, endOfEvent)
	if end < 0 {
		s.pending = bytes.Clone(all)
		return nil
	}
	end += len(endOfEvent)
	whole := all[:end]
	s.pending = bytes.Clone(all[end:])
	s.note(whole)
	return whole
}

// note keeps the id of the last event that has one.
func (s *Splitter) note(events []byte) {
	for line := range bytes.SplitSeq(events, endOfLine) {
		if id, ok := bytes.CutPrefix(line, fieldID); ok {
			s.last = string(bytes.TrimSpace(id))
		}
	}
}

// LastID returns the id of the last whole event that had one.
func (s *Splitter) LastID() string {
	return s.last
}

// IsEmpty says whether no part of an event is pending.
func (s *Splitter) IsEmpty() bool {
	return len(s.pending) == 0
}
