package tlplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlquarantine"
)

// withParts returns a request with the given shared parts.
func withParts(id string, parts ...string) Request {
	return Request{
		ID: id, Owner: owner, Prompt: 1000, Output: 100, Parts: parts,
		Due: at(time.Minute), GiveUp: at(time.Minute), Deadline: at(time.Hour),
	}
}

// crash places a request and has its engine crash and come back; it returns the part blamed.
func crash(b *Book, now time.Time, id string, parts ...string) string {
	d := b.Submit(now, withParts(id, parts...))[0]
	part, _, ok := b.Crashed(now, id, d.Decode)
	b.Failed(now, id, d.Decode, ConnectionBroke)
	if ok {
		b.Quarantine(now, now.Add(tlquarantine.HoldTime), part)
	}
	var list []tlendpoint.Endpoint
	for _, e := range b.order {
		if e.ID == d.Decode {
			e.Incarnation++
		}
		list = append(list, e.Endpoint)
	}
	b.SetEngines(now, list)
	return part
}

func TestRequestsWithAPartThatCrashesEnginesAreRefused(t *testing.T) {
	b := newBook(2, 5)
	for n := range tlquarantine.MinCrashes - 1 {
		assert.Empty(t, crash(b, at(time.Duration(n)*time.Second), fmt.Sprint("c", n), "a", "x", fmt.Sprint("b", n)))
	}
	b.Submit(at(2*time.Second), withParts("sound", "a", "y"))
	b.Completed(at(2*time.Second), "sound")
	assert.Equal(t, "x", crash(b, at(3*time.Second), "last", "a", "x", "b"))
	d := b.Submit(at(4*time.Second), withParts("new", "a", "x", "c"))[0]
	assert.Equal(t, PartQuarantined, d.Refused)
	assert.Equal(t, tlquarantine.HoldTime-time.Second, d.RetryAfter)
	assert.Equal(t, NotRefused, b.Submit(at(4*time.Second), withParts("sound 2", "a", "y"))[0].Refused)
}

func TestQueuedRequestsWithAPartInQuarantineAreRefused(t *testing.T) {
	b := newBook(0, 1)
	for n := range 3 {
		b.Submit(start, request(fmt.Sprint("full", n), 3000, 0))
	}
	b.Enqueue(start, withParts("queued", "x"))
	b.Enqueue(start, withParts("sound", "y"))
	b.Quarantine(start, at(time.Minute), "x")
	d := b.Tick(start)
	assert.Len(t, d, 1)
	assert.Equal(t, "queued", d[0].Request)
	assert.Equal(t, PartQuarantined, d[0].Refused)
	assert.True(t, b.IsWaiting())
}

func TestAnswerOfARequestInFlightLiftsTheQuarantine(t *testing.T) {
	b := newBook(1, 2)
	b.Submit(start, withParts("in flight", "x"))
	b.Quarantine(start, at(time.Minute), "x")
	assert.Equal(t, []string{"x"}, b.Completed(at(time.Second), "in flight"))
	assert.Equal(t, NotRefused, b.Submit(at(time.Second), withParts("new", "x"))[0].Refused)
}

// A new home attributes crashes to the bookings that it has learnt of.
func TestCrashUnderAnAdoptedBookingCounts(t *testing.T) {
	b := newBook(1, 5)
	for n := range tlquarantine.MinCrashes {
		id, engine := fmt.Sprint("r", n), fmt.Sprint("d", n)
		b.Adopt(at(time.Duration(n)*time.Second), Booking{Request: id, Owner: owner, Decode: engine, Tokens: 16, Parts: []string{"x"}})
		_, _, ok := b.Crashed(at(time.Duration(n)*time.Second), id, engine)
		assert.Equal(t, n == tlquarantine.MinCrashes-1, ok)
	}
	_, _, ok := b.Crashed(at(time.Minute), "unknown", "d0")
	assert.False(t, ok)
}
