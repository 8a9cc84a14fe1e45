package tlplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fullBook returns a book of 140 engines whose memory is all booked, with 200
// requests that wait.
func fullBook() *Book {
	b := newBook(30, 110)
	for n := range 110 {
		id := fmt.Sprint("full", n)
		b.Submit(start, request(id, 9000, 0))
		b.Prefilled(start, id)
	}
	for n := range 200 {
		b.Submit(start, patient(fmt.Sprint("waits", n)))
	}
	return b
}

// patient returns a request that can wait for long.
func patient(id string) Request {
	r := request(id, 5000, 0)
	r.Due, r.GiveUp, r.Deadline = at(time.Hour), at(time.Hour), at(time.Hour)
	return r
}

// The home of a large fleet once weighed each request against each engine at
// every report, so that a burst left it no time to place anything.
func TestALookAtAFullBookCostsLittleAndOverlooksNothing(t *testing.T) {
	b := fullBook()
	require.Len(t, b.waiting, 200)
	assert.Zero(t, testing.AllocsPerRun(100, func() { b.Tick(start) }))
	b.Served(start, "full7")
	assert.Len(t, b.Tick(start), 1, "room for one")
	b.waiting[100].GiveUp = start
	d := b.Tick(at(time.Millisecond))
	require.Len(t, d, 1, "one has to be refused")
	assert.Equal(t, WaitTooLong, d[0].Refused)
}

// BenchmarkFullBook is a report at the home of a large fleet in a burst.
func BenchmarkFullBook(b *testing.B) {
	k := fullBook()
	b.ReportAllocs()
	for b.Loop() {
		k.Tick(start)
	}
}

// BenchmarkBurst is a request that ends, one that is placed for it and one that
// comes, at the home of a large fleet in a burst.
func BenchmarkBurst(b *testing.B) {
	k := fullBook()
	running := make([]string, 0, 110)
	for n := range 110 {
		running = append(running, fmt.Sprint("full", n))
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		k.Served(start, running[n%110])
		for _, d := range k.Tick(start) {
			running[n%110] = d.Request
			k.Prefilled(start, d.Request)
		}
		k.Submit(start, patient(fmt.Sprint("more", n)))
		n++
	}
}
