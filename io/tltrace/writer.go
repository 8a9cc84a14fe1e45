package tltrace

import (
	"io"
	"sync/atomic"
)

// Writer passes lines on to a slow writer and never blocks its callers. Lines that
// find the buffer full, or fail to be written, are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to another one, with a buffer of the given number of lines.
func NewWriter(to io.Writer, lines int) *Writer {
	w := &Writer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run(to)
	return w
}

func (w *Writer) run(to io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := to.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write queues a copy of a line, or drops it if the buffer is full; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	c := append([]byte(nil), line...)
	select {
	case w.lines <- c:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close ends the writer once the queued lines are written; Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
}

// Done returns a channel that is closed when the last line has been written.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}
