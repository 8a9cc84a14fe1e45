package tlevent

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// fieldID is the field with an event's ID.
	fieldID = "id"
	// extensionPrefix begins the names of fields that engines add to those of the standard.
	extensionPrefix = "x-"
)

var (
	lineSeparator  = []byte("\n")
	fieldSeparator = []byte(":")
)

// Splitter splits the bytes of a stream as they arrive; its zero value is ready for use.
type Splitter struct {
	buffer []byte
	// whole is the length of the events at the beginning of buffer, which the last call of
	// Add returned.
	whole  int
	lastID string
	count  int
	// goesOn says that the next event must have an ID, since it follows one of another run.
	goesOn bool
	// isMalformed says that what follows the last event is none.
	isMalformed bool
}

// After returns a Splitter of a run that goes on after the event with an ID; empty is a first run.
func After(id string) Splitter {
	return Splitter{lastID: id, goesOn: id != ""}
}

// Add adds bytes of the stream and returns the events that they complete, up to the first
// that is none; the result is valid until the next call.
func (s *Splitter) Add(b []byte) []byte {
	if s.isMalformed {
		return nil
	}
	if s.whole > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.whole:]...)
		s.whole = 0
	}
	// The end of an event may begin with the last two bytes that were there before.
	from := max(len(s.buffer)-2, 0)
	s.buffer = append(s.buffer, b...)
	for {
		end := eventEnd(s.buffer[from:])
		if end < 0 {
			break
		}
		end += from
		if s.isMalformed = !s.take(s.buffer[s.whole:end]); s.isMalformed {
			break
		}
		s.count++
		s.whole, from = end, end
	}
	if s.whole == 0 {
		return nil
	}
	return s.buffer[:s.whole]
}

// eventEnd returns the index after the first empty line that follows another one; -1 if there
// is none. Lines end with a line feed, or a carriage return and a line feed.
func eventEnd(b []byte) int {
	at := 0
	for {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return -1
		}
		at += n + 1
		rest := bytes.TrimPrefix(b[at:], []byte("\r"))
		if bytes.HasPrefix(rest, lineSeparator) {
			return len(b) - len(rest) + 1
		}
	}
}

// IsMalformed reports whether what followed the last event is none.
func (s *Splitter) IsMalformed() bool {
	return s.isMalformed
}

// Count returns the number of complete events so far.
func (s *Splitter) Count() int {
	return s.count
}

// take checks a block that ends as an event does, and records its ID. It reports whether it
// is one: an engine at fault may write an error's text or head where events are due, or
// events that came before.
func (s *Splitter) take(block []byte) bool {
	id, isEvent := "", false
	for line := range bytes.SplitSeq(block, lineSeparator) {
		name, value, hasValue := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), fieldSeparator)
		if len(name) == 0 {
			// A comment, or an empty line.
			continue
		}
		if !isField(string(name), hasValue) {
			return false
		}
		isEvent = true
		if string(name) == fieldID {
			id = string(bytes.TrimSpace(value))
		}
	}
	switch {
	case id != "" && !isLater(id, s.lastID):
		return false
	case id == "" && s.goesOn && isEvent:
		return false
	}
	if id != "" {
		s.lastID, s.goesOn = id, false
	}
	return true
}

// isField reports whether a line of an event may begin with a name.
func isField(name string, hasValue bool) bool {
	switch name {
	case "data", "event", fieldID, "retry":
		return true
	}
	return hasValue && strings.HasPrefix(name, extensionPrefix)
}

// isLater reports whether an event may follow another one; IDs increase where they are numbers.
func isLater(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	l, errLast := strconv.ParseUint(last, 10, 64)
	if err == nil && errLast == nil {
		return n > l
	}
	return id != last
}

// LastID returns the id of the last complete event that had one.
func (s *Splitter) LastID() string {
	return s.lastID
}

// Pending returns the number of bytes buffered of an incomplete event.
func (s *Splitter) Pending() int {
	return len(s.buffer) - s.whole
}

// IsEmpty reports whether no incomplete event is buffered.
func (s *Splitter) IsEmpty() bool {
	return s.Pending() == 0
}
