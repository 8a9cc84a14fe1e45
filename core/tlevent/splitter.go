package tlevent

import "bytes"

var (
	eventSeparator = []byte("\n\n")
	lineSeparator  = []byte("\n")
	fieldID        = []byte("id:")
)

// Splitter splits the bytes of a stream as they arrive; its zero value is ready for use.
type Splitter struct {
	pending []byte
	lastID  string
}

// Add adds bytes of the stream and returns the events that they complete; the
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
	end := bytes.LastIndex(all, eventSeparator)
	if end < 0 {
		s.pending = bytes.Clone(all)
		return nil
	}
	end += len(eventSeparator)
	whole := all[:end]
	s.pending = bytes.Clone(all[end:])
	s.recordLastID(whole)
	return whole
}

// recordLastID stores the id of the last of the events that has one.
func (s *Splitter) recordLastID(events []byte) {
	for line := range bytes.SplitSeq(events, lineSeparator) {
		if id, ok := bytes.CutPrefix(line, fieldID); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// LastID returns the id of the last complete event that had one.
func (s *Splitter) LastID() string {
	return s.lastID
}

// Pending returns the number of bytes buffered of an incomplete event.
func (s *Splitter) Pending() int {
	return len(s.pending)
}

// IsEmpty reports whether no incomplete event is buffered.
func (s *Splitter) IsEmpty() bool {
	return len(s.pending) == 0
}
