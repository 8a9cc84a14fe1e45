package tlplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// engineKind is a kind of engine that a book knows nothing of at first.
type engineKind struct {
	name string
	// prefill and token are the seconds for each token of a prompt and of an answer.
	prefill, token float64
	stride, output int
}

var engineKinds = []engineKind{
	{"1 fast steps, 70 tokens an event", 1.0 / 55_000, 0.0007, 70, 4900},
	{"2 slow steps, one token an event", 1.0 / 55_000, 0.015, 1, 300},
	{"3 slow prefill", 1.0 / 20_000, 0.0016, 25, 2000},
	{"4 very fast prefill", 1.0 / 400_000, 0.004, 11, 600},
}

// play serves requests one after the other on a book with as many engines as it needs,
// and returns the number of refusals.
func (k engineKind) play(t *testing.T, b *Book, requests int, from time.Duration) int {
	t.Helper()
	refused := 0
	for n := range requests {
		id := fmt.Sprint(k.name, from, n)
		now := from + time.Duration(n)*10*time.Second
		r := request(id, 4000, now)
		r.Output = k.output
		d := submitOne(t, b, now, r)
		if d.Refused != NotRefused {
			refused++
			continue
		}
		read := now + time.Duration(k.prefill*4000*float64(time.Second))
		b.read(at(read), id)
		b.Served(at(read+time.Duration(k.token*float64(k.output)*float64(time.Second))), id)
	}
	return refused
}

func TestNoRequestIsRefusedForWhatIsNotMeasured(t *testing.T) {
	for _, k := range engineKinds {
		t.Run(k.name, func(t *testing.T) {
			b := newUnmeasuredBook(2, 4)
			assert.Zero(t, k.play(t, b, 20, 0))
			assert.InEpsilon(t, k.prefill, b.Rates().Prefill.Value(), 0.01)
			assert.InEpsilon(t, k.token, b.Rates().Answer.Value(), 0.2)
		})
	}
}

func TestUnmeasuredBookMovesNoRole(t *testing.T) {
	s := newUnmeasuredBook(2, 4).RoleState(start)
	assert.Zero(t, s.PrefillWork)
	assert.Zero(t, s.DecodeWork)
}

// A home that is lost takes its measurements with it; owners bring theirs to the next.
func TestOwnersMeasureWhatTheyFollowAndTheNextHomeStartsWithIt(t *testing.T) {
	for _, k := range engineKinds {
		t.Run(k.name, func(t *testing.T) {
			home, other, next := newUnmeasuredBook(2, 4), newUnmeasuredBook(2, 4), newUnmeasuredBook(2, 4)
			for n := range 5 {
				now := time.Duration(n) * 20 * time.Second
				r := request(fmt.Sprint(n), 4000, now)
				r.Output = k.output
				other.Follow(at(now), r, submitOne(t, home, now, r))
				read := now + time.Duration(k.prefill*4000*float64(time.Second))
				end := read + time.Duration(k.token*float64(k.output)*float64(time.Second))
				for _, b := range []*Book{home, other} {
					b.read(at(read), r.ID)
					b.Served(at(end), r.ID)
				}
			}
			next.MergeRates(other.Rates())
			assert.InEpsilon(t, home.Rates().Answer.Value(), next.Rates().Answer.Value(), 0.01)
			assert.InEpsilon(t, home.Rates().Prefill.Value(), next.Rates().Prefill.Value(), 0.01)
			assert.Positive(t, next.RoleState(start).PrefillWork)
			assert.Positive(t, next.RoleState(start).DecodeWork)
		})
	}
}

// Bookings that a new home learns of were placed at an unknown time.
func TestAdoptedBookingIsNotMeasured(t *testing.T) {
	b := newUnmeasuredBook(2, 1)
	for n := range 10 {
		id := fmt.Sprint(n)
		b.Adopt(start, Booking{Request: id, Owner: owner, Decode: "d0", Tokens: 100})
		b.read(at(time.Millisecond), id)
		b.Served(at(2*time.Millisecond), id)
	}
	assert.Zero(t, b.Rates())
}

// While slots bind, a request waits for a slot though memory is free.
func TestRequestThatWouldWaitTooLongForASlotIsRefusedOnArrival(t *testing.T) {
	b := newBook(2, 1)
	b.o.Slots = 1
	submitOne(t, b, 0, request("1", 100, 0))
	require.Empty(t, b.Submit(start, request("2", 100, 0)))
	d := submitOne(t, b, 0, request("3", 100, 0))
	assert.Equal(t, WaitTooLong, d.Refused)
	assert.Greater(t, d.RetryAfter, 3*time.Second)
}

// An unmeasured prefill engine gets a few prompts, not a whole burst.
func TestBurstBeforeTheFirstMeasurementIsSpreadOverPrefillEngines(t *testing.T) {
	b := newUnmeasuredBook(2, 40)
	sent := map[string]int{}
	for n := range 20 {
		for _, d := range b.Submit(start, request(fmt.Sprint(n), 1000, 0)) {
			require.Equal(t, NotRefused, d.Refused)
			sent[d.Prefill]++
		}
	}
	assert.Equal(t, map[string]int{"p0": 2, "p1": 2}, sent)
}

func TestPromptIsReadAtADecodeEngineOnlyWhereThatCostsLessThanItSaves(t *testing.T) {
	cases := []struct {
		name   string
		prompt int
		// queued is the length of the queue at the prefill engine, running the answers at the decode engine.
		queued  time.Duration
		running int
		gap     time.Duration
		direct  bool
	}{
		{"1 no answer beside it, and sooner", 4000, 500 * time.Millisecond, 0, 100 * time.Millisecond, true},
		{"2 the prefill engine is sooner", 4000, 60 * time.Millisecond, 0, 100 * time.Millisecond, false},
		{"3 answers beside it, and in time without", 4000, 500 * time.Millisecond, 1, 300 * time.Millisecond, false},
		{"4 answers beside it that bear the pause, and late without", 4000, 2 * time.Second, 1, 300 * time.Millisecond, true},
		{"5 answers beside it that would be late themselves", 4000, 2 * time.Second, 1, 100 * time.Millisecond, false},
		{"6 a route without a gap objective", 4000, 2 * time.Second, 1, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBook(1, 1)
			for n := range c.running {
				submitOne(t, b, 0, request(fmt.Sprint("runs", n), 100, 0))
				b.read(start, fmt.Sprint("runs", n))
			}
			b.engines["p0"].freeAt = at(c.queued)
			r := request("1", c.prompt, 0)
			r.Gap = c.gap
			d := b.Submit(start, r)
			assert.Equal(t, c.direct, len(d) == 1 && d[0].Prefill == "" && d[0].Decode == "d0")
		})
	}
}

// Two prompts read one right after the other pause the answers beside them once, for
// the time of both.
func TestDirectReadingsAreAnEventApartWhereAnswersRunBeside(t *testing.T) {
	b := newBook(0, 1)
	b.o.Stride = 10
	submitOne(t, b, 0, request("runs", 100, 0))
	b.DirectPrefillDone(start, "runs")
	assert.Empty(t, b.Submit(at(10*time.Millisecond), request("1", 1000, 0)), "an event of 10 tokens takes 50 ms")
	d := b.Tick(at(50 * time.Millisecond))
	require.Len(t, d, 1)
	assert.Equal(t, "1", d[0].Request)
	b.Served(at(60*time.Millisecond), "runs")
	b.Served(at(60*time.Millisecond), "1")
	submitOne(t, b, 60*time.Millisecond, request("2", 1000, 0))
}

// While the prefill engines are busy, a request whose prompt can't be read in time
// does not take the room of one that can be served in time.
func TestLatenessIncludesWaitForPrefillEngine(t *testing.T) {
	b := newBook(1, 1)
	submitOne(t, b, 0, request("full", 9000, 0))
	require.Empty(t, b.Submit(at(0), request("soon due", 2000, 0)))
	require.Empty(t, b.Submit(at(500*time.Millisecond), request("fresh", 2000, 500*time.Millisecond)))
	b.read(at(100*time.Millisecond), "full")
	b.engines["p0"].freeAt = at(900 * time.Millisecond)
	b.Served(at(600*time.Millisecond), "full")
	b.readDelay = b.newPass(at(600*time.Millisecond), nil).readDelay
	b.sortWaiting(at(600 * time.Millisecond))
	assert.Equal(t, "fresh", b.waiting[0].ID)
}
