package tlengine

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"trefoillanding/core/tlwire"
)

// event is a token event whose byte slices may point into the line it was decoded from.
type event struct {
	attempt []byte
	text    []byte
	finish  []byte
	failure []byte
	index   int
}

const (
	keyAttempt = "Attempt"
	keyIndex   = "Index"
	keyText    = "Text"
	keyFinish  = "Finish"
	keyError   = "Error"
	// indexDigitsMax is the most digits of an index decoded without encoding/json.
	indexDigitsMax = 9
)

// readEvent decodes a line, with encoding/json where readPlainEvent cannot.
func readEvent(line []byte) (event, error) {
	v, ok := readPlainEvent(line)
	if ok {
		return v, nil
	}
	var t tlwire.TokenEvent
	err := json.Unmarshal(line, &t)
	if err != nil {
		return event{}, err
	}
	return event{
		attempt: []byte(t.Attempt),
		text:    []byte(t.Text),
		finish:  []byte(t.Finish),
		failure: []byte(t.Error),
		index:   t.Index,
	}, nil
}

// readPlainEvent decodes a line that has no spaces, escapes or unknown keys,
// and returns false for any other.
func readPlainEvent(line []byte) (event, bool) {
	var v event
	line = bytes.TrimSuffix(line, []byte{'\n'})
	if len(line) < 2 || line[0] != '{' {
		return v, false
	}
	for rest := line[1:]; ; {
		key, after, ok := readString(rest)
		if !ok || len(after) == 0 || after[0] != ':' {
			return v, false
		}
		rest, ok = v.readValue(string(key), after[1:])
		if !ok || len(rest) == 0 {
			return v, false
		}
		if rest[0] == '}' {
			return v, len(rest) == 1
		}
		if rest[0] != ',' {
			return v, false
		}
		rest = rest[1:]
	}
}

// readValue decodes the value of a key and returns the bytes after it.
func (v *event) readValue(key string, b []byte) ([]byte, bool) {
	var ok bool
	switch key {
	case keyAttempt:
		v.attempt, b, ok = readString(b)
	case keyText:
		v.text, b, ok = readString(b)
	case keyFinish:
		v.finish, b, ok = readString(b)
	case keyError:
		v.failure, b, ok = readString(b)
	case keyIndex:
		v.index, b, ok = readIndex(b)
	}
	return b, ok
}

// readString decodes a string without escapes and returns the bytes after it.
func readString(b []byte) ([]byte, []byte, bool) {
	if len(b) == 0 || b[0] != '"' {
		return nil, nil, false
	}
	b = b[1:]
	ascii := true
	for i, x := range b {
		switch {
		case x == '"':
			return b[:i], b[i+1:], ascii || utf8.Valid(b[:i])
		case x < ' ' || x == '\\':
			return nil, nil, false
		case x >= utf8.RuneSelf:
			ascii = false
		}
	}
	return nil, nil, false
}

// readIndex decodes a non-negative integer and returns the bytes after it.
func readIndex(b []byte) (int, []byte, bool) {
	n, i := 0, 0
	for i < len(b) && b[i] >= '0' && b[i] <= '9' {
		n = n*10 + int(b[i]-'0')
		i++
		if i > indexDigitsMax {
			return 0, nil, false
		}
	}
	if i == 0 || (i > 1 && b[0] == '0') {
		return 0, nil, false
	}
	return n, b[i:], true
}
