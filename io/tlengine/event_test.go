package tlengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
)

var eventSeeds = []string{
	`{"Attempt":"a","Index":12,"Text":"bak "}`,
	`{"Attempt":"a","Index":0,"Text":"bak ","Finish":"stop"}`,
	`{"Attempt":"a","Error":"Taken","Index":3,"Text":""}`,
	`{"Attempt":"a","Index":1,"Text":"Ayvalık"}`,
	`{ "Attempt" : "a" , "Index" : 1e2, "Text":"\u0131\n" }`,
	`{"attempt":"a","INDEX":7,"Text":null,"Other":{"Text":"x"}}`,
	`{"Attempt":"a","Index":012,"Text":""}`,
	`{"Attempt":"a","Index":-1,"Text":"` + "\xff" + `"}`,
	`{"Attempt":"a","Index":1,"Index":2,"Text":""} `,
	`{}`, `{`, `null`, ``, `{"Attempt":"a",}`, `{"Attempt":"a"}}`,
}

// FuzzReadEvent compares readPlainEvent with encoding/json.
func FuzzReadEvent(f *testing.F) {
	for _, s := range eventSeeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		v, ok := readPlainEvent(line)
		if !ok {
			return
		}
		var w tlwire.TokenEvent
		require.NoError(t, json.Unmarshal(line, &w))
		got := tlwire.TokenEvent{
			Attempt: string(v.attempt), Index: v.index, Text: string(v.text),
			Finish: string(v.finish), Error: string(v.failure),
		}
		require.Equal(t, w, got)
	})
}

// FuzzStream reads a stream from arbitrary response bodies of an engine.
func FuzzStream(f *testing.F) {
	f.Add([]byte(strings.Join(eventSeeds, "\n")))
	f.Fuzz(func(t *testing.T, answer []byte) {
		s := memoryStream(bytes.NewReader(answer))
		next := 0
		for {
			e, err := s.Next()
			if err != nil {
				return
			}
			require.Equal(t, "a", e.Attempt)
			if e.Error == "" {
				require.Equal(t, next, e.Index)
			}
			next++
		}
	})
}

func memoryStream(r io.Reader) *Stream {
	o := NewOptions()
	c := &Client{options: o, watchdog: newWatchdog(time.Second)}
	x, stop := context.WithCancelCause(context.Background())
	s := &Stream{client: c, context: x, stop: stop, detach: func() bool { return true }, attempt: "a", body: io.NopCloser(r), lastArrival: time.Now()}
	s.reader = newLineReader(r)
	return s
}

func TestLongLinesAreBounded(t *testing.T) {
	for _, c := range []struct {
		bytes int
		cause Cause
		fails bool
	}{{100, 0, false}, {lineBufferBytes * 3, 0, false}, {lineLimitBytes, Malformed, true}} {
		line := `{"Attempt":"a","Index":0,"Text":"` + strings.Repeat("x", c.bytes) + `","Finish":"stop"}` + "\n"
		e, err := memoryStream(strings.NewReader(line)).Next()
		if c.fails {
			require.True(t, hasCause(err, c.cause))
			continue
		}
		require.NoError(t, err)
		require.Len(t, e.Text, c.bytes)
	}
}

// tokenLines is an endless reader of event lines with increasing indices.
type tokenLines struct {
	index int
	rest  []byte
}

func (l *tokenLines) Read(b []byte) (int, error) {
	if len(l.rest) == 0 {
		l.rest, _ = json.Marshal(tlwire.TokenEvent{Attempt: "a", Index: l.index, Text: "bak "})
		l.rest = append(l.rest, '\n')
		l.index++
	}
	n := copy(b, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

func BenchmarkReadEvent(b *testing.B) {
	line := []byte(`{"Attempt":"izmir-1-0123456789abcdef","Index":1234,"Text":"bak "}` + "\n")
	for _, c := range []struct {
		name string
		read func() error
	}{
		{"fast", func() error { _, err := readEvent(line); return err }},
		{"json", func() error { var v tlwire.TokenEvent; return json.Unmarshal(line, &v) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := c.read(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkStreamNext(b *testing.B) {
	lines := make([]byte, 0, 1<<20)
	l := &tokenLines{}
	for len(lines) < 1<<20-1024 {
		n, _ := l.Read(lines[len(lines):cap(lines)])
		lines = lines[:len(lines)+n]
	}
	b.ReportAllocs()
	s := memoryStream(bytes.NewReader(lines))
	for b.Loop() {
		_, err := s.Next()
		if errors.Is(err, io.ErrUnexpectedEOF) {
			s = memoryStream(bytes.NewReader(lines))
			continue
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}
