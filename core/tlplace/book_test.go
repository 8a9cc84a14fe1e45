package tlplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrate"
)

var (
	start = time.Unix(1000, 0)
	owner = Owner{Name: "a", Incarnation: 1}
)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

// newBook returns a book of engines p0, p1, … and d0, d1, … with room for 10,000 tokens
// each, that has measured them: 55 prompt tokens a millisecond, 5 ms a token of an
// answer, 4 s a booking.
func newBook(readers, decoders int) *Book {
	b := newUnmeasuredBook(readers, decoders)
	b.MergeRates(testRates(1.0/55_000, 0.005))
	return b
}

// newUnmeasuredBook returns a book like that of newBook that has measured nothing.
func newUnmeasuredBook(readers, decoders int) *Book {
	b := New(DefaultOptions(10_000, 64, 1), rand.New(rand.NewPCG(1, 1)))
	b.SetEngines(start, engines(readers, decoders))
	return b
}

// testRates returns rates of engines that read a prompt token and generate a token in so many seconds.
func testRates(prefill, token float64) tlrate.Rates {
	known := func(x float64) tlrate.Estimate { return tlrate.Estimate{Average: x, Samples: 10} }
	return tlrate.Rates{
		Booking: known(4),
		Answer:  tlrate.Ratio{Time: known(100 * token), Units: known(100)},
		Prefill: tlrate.Ratio{Time: known(4000 * prefill), Units: known(4000)},
		Prompt:  known(4000),
		Load:    known(40),
	}
}

// read reports that the prefill engine of a request's booking has read its prompt.
func (b *Book) read(now time.Time, id string) {
	if k := b.bookings[id]; k != nil {
		b.Prefilled(now, id, k.Prefill)
	}
}

func engines(readers, decoders int) []tlendpoint.Endpoint {
	var list []tlendpoint.Endpoint
	for n := range readers {
		list = append(list, tlendpoint.Endpoint{ID: fmt.Sprint("p", n), Role: tlendpoint.Prefill, Incarnation: 1})
	}
	for n := range decoders {
		list = append(list, tlendpoint.Endpoint{ID: fmt.Sprint("d", n), Role: tlendpoint.Decode, Incarnation: 1})
	}
	return list
}

// request returns a request that arrives at the given time, is due 0.9 s later and given up 3.6 s later.
func request(id string, prompt int, arrived time.Duration) Request {
	return Request{
		ID:       id,
		Owner:    owner,
		Prompt:   prompt,
		Output:   100,
		Due:      at(arrived + 900*time.Millisecond),
		GiveUp:   at(arrived + 3600*time.Millisecond),
		Deadline: at(arrived + 14*time.Second),
	}
}

// submitOne submits a request and returns its decision, which must be the only one and come at once.
func submitOne(t *testing.T, b *Book, now time.Duration, r Request) Decision {
	t.Helper()
	d := b.Submit(at(now), r)
	require.Len(t, d, 1)
	require.Equal(t, r.ID, d[0].Request)
	return d[0]
}

func TestPromptIsNotReadBeforeMemoryIsBooked(t *testing.T) {
	b := newBook(4, 1)
	assert.Equal(t, "d0", submitOne(t, b, 0, request("1", 4000, 0)).Decode)
	assert.Equal(t, "d0", submitOne(t, b, 0, request("2", 4000, 0)).Decode)
	assert.Empty(t, b.Submit(start, request("3", 4000, 0)), "the memory is full, though prefill engines are free")
	b.Served(at(time.Second), "1")
	d := b.Tick(at(time.Second))
	require.Len(t, d, 1)
	assert.Equal(t, "3", d[0].Request)
	assert.Equal(t, time.Second, d[0].Waited)
}

func TestImpossibleRequestIsRefusedWithRetryTime(t *testing.T) {
	b := newBook(2, 1)
	cases := []struct {
		name string
		r    Request
		why  Reason
	}{
		{"1 larger than an engine's memory", request("1", 20_000, 0), TooLarge},
	}
	for _, c := range cases {
		d := submitOne(t, b, 0, c.r)
		assert.Equal(t, c.why, d.Refused, c.name)
		assert.Positive(t, d.RetryAfter, c.name)
	}
	assert.Equal(t, NoEngines, submitOne(t, newBook(2, 0), 0, request("1", 100, 0)).Refused)
	learning := newBook(2, 0)
	learning.Enqueue(start, request("1", 100, 0))
	d := learning.Tick(start)
	require.Len(t, d, 1, "also where Enqueue postponed the decision")
	assert.Equal(t, NoEngines, d[0].Refused)
}

func TestBurstIsRefusedAtOnceWithSpreadRetryTimes(t *testing.T) {
	b := newBook(4, 1)
	var refused []Decision
	for n := range 40 {
		for _, d := range b.Submit(start, request(fmt.Sprint(n), 3000, 0)) {
			if d.Refused == WaitTooLong {
				refused = append(refused, d)
			}
		}
	}
	require.NotEmpty(t, refused)
	least, most := refused[0].RetryAfter, refused[0].RetryAfter
	for _, d := range refused {
		assert.Zero(t, d.Waited)
		least, most = min(least, d.RetryAfter), max(most, d.RetryAfter)
	}
	assert.Greater(t, most-least, 500*time.Millisecond)
}

func TestQueuedRequestIsRefusedBeforeItsCallerGivesUp(t *testing.T) {
	b := newBook(1, 1)
	submitOne(t, b, 0, request("1", 9000, 0))
	require.Empty(t, b.Submit(start, request("2", 5000, 0)))
	var d []Decision
	now := time.Duration(0)
	for ; len(d) == 0; now += 10 * time.Millisecond {
		require.Less(t, now, 3600*time.Millisecond)
		d = b.Tick(at(now))
	}
	assert.Equal(t, WaitTooLong, d[0].Refused)
	assert.Greater(t, now, 2500*time.Millisecond, "not refused while it could still be served")
}

func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	b := newBook(1, 1)
	r := request("1", 100, 0)
	r.Output, r.Deadline = 1000, at(time.Second)
	assert.Equal(t, WaitTooLong, submitOne(t, b, 0, r).Refused)
}

func TestQueueOrderIsBegunThenOnTimeThenLate(t *testing.T) {
	b := newBook(4, 1)
	submitOne(t, b, 0, request("full", 9000, 0))
	require.Empty(t, b.Submit(at(0), request("late", 2000, 0)))
	require.Empty(t, b.Submit(at(1200*time.Millisecond), request("fresh", 2000, 1200*time.Millisecond)))
	begun := request("begun", 2000, 1200*time.Millisecond)
	begun.HasBegun = true
	require.Empty(t, b.Submit(at(1200*time.Millisecond), begun))
	b.Served(at(1300*time.Millisecond), "full")
	var order []string
	for _, d := range b.Tick(at(1300 * time.Millisecond)) {
		order = append(order, d.Request)
	}
	assert.Equal(t, []string{"begun", "fresh", "late"}, order)
}

func TestLatenessIncludesDelayOfFirstEventToCaller(t *testing.T) {
	b := newBook(4, 1)
	b.o.Stride = 30
	submitOne(t, b, 0, request("full", 9000, 0))
	require.Empty(t, b.Submit(at(0), request("short", 2000, 0)))
	require.Empty(t, b.Submit(at(700*time.Millisecond), request("fresh", 2000, 700*time.Millisecond)))
	b.Served(at(700*time.Millisecond), "full")
	d := b.Tick(at(700 * time.Millisecond))
	require.Len(t, d, 2)
	assert.Equal(t, "fresh", d[0].Request, "36 ms of prefill, 150 ms of tokens and 50 ms of transfer exceed the 200 ms left")
}

func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	b := newBook(4, 1)
	submitOne(t, b, 0, request("a", 4000, 0))
	submitOne(t, b, 0, request("b", 4000, 0))
	require.Empty(t, b.Submit(start, request("large", 8000, 0)))
	b.Served(at(450*time.Millisecond), "a")
	small := request("small", 2000, 450*time.Millisecond)
	small.GiveUp = at(20 * time.Second)
	assert.Empty(t, b.Submit(at(450*time.Millisecond), small), "the memory is reserved for the large request")
	b.Served(at(500*time.Millisecond), "b")
	d := b.Tick(at(500 * time.Millisecond))
	require.NotEmpty(t, d)
	assert.Equal(t, "large", d[0].Request)
}

func TestDecodeEngineReadsPromptWhilePrefillEnginesAreBusy(t *testing.T) {
	b := newBook(1, 4)
	direct := 0
	for n := range 4 {
		for _, d := range b.Submit(start, request(fmt.Sprint(n), 8000, 0)) {
			if d.Prefill == "" && d.Decode != "" {
				direct++
			}
		}
	}
	assert.Positive(t, direct)
	none := newBook(0, 1)
	assert.Empty(t, submitOne(t, none, 0, request("x", 1000, 0)).Prefill)
}

func TestKeptPrefillIsReusedAtAnotherDecodeEngine(t *testing.T) {
	b := newBook(1, 2)
	d := submitOne(t, b, 0, request("1", 4000, 0))
	b.EngineFull(at(0), "1", d.Decode)
	again := request("1", 4000, 0)
	again.Avoid, again.PrefillKeptUntil = []string{d.Decode}, at(400*time.Millisecond)
	other := submitOne(t, b, 0, again)
	assert.True(t, other.ReusesPrefill)
	assert.Empty(t, other.Prefill)
	assert.NotEqual(t, d.Decode, other.Decode)
	assert.Equal(t, 0, b.engines[other.Decode].directPrefills)
}

func TestBackoffGrowsWithFailuresAndServedRequestResetsIt(t *testing.T) {
	cases := []struct {
		name     string
		failures []Failure
		backoff  time.Duration
	}{
		{"1 one broken connection", []Failure{ConnectionBroke}, 150 * time.Millisecond},
		{"2 two broken connections", []Failure{ConnectionBroke, ConnectionBroke}, 800 * time.Millisecond},
		{"3 no response", []Failure{Unresponsive}, 800 * time.Millisecond},
		{"4 no response three times", []Failure{Unresponsive, Unresponsive, Unresponsive}, 1600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBook(0, 1)
			for _, f := range c.failures {
				b.Failed(start, "none", "d0", f)
			}
			assert.False(t, b.engines["d0"].isUsable(at(c.backoff-time.Millisecond)))
			assert.True(t, b.engines["d0"].isUsable(at(c.backoff)))
			submitOne(t, b, c.backoff, request("1", 100, c.backoff))
			b.Served(at(c.backoff), "1")
			assert.Zero(t, b.engines["d0"].failures)
		})
	}
}

// Guards against counting a full engine, or a caller that left, as a failure of the engine.
func TestFullEngineIsNotCountedAsFailing(t *testing.T) {
	b := newBook(0, 1)
	submitOne(t, b, 0, request("1", 100, 0))
	b.EngineFull(start, "1", "d0")
	assert.Zero(t, b.engines["d0"].failures)
	submitOne(t, b, time.Second, request("2", 100, time.Second))
	b.Withdraw(at(time.Second), "2")
	assert.True(t, b.engines["d0"].isUsable(at(time.Second)))
	assert.Zero(t, b.engines["d0"].booked)
}

func TestUntrackedMemoryIsNotBooked(t *testing.T) {
	b := newBook(2, 1)
	b.MemoryReported(start, "d0", 8000)
	assert.Empty(t, b.Submit(start, request("1", 4000, 0)))
	d := b.Tick(at(3 * time.Second))
	require.Len(t, d, 1, "untracked memory decays within an average booking's time")
	assert.Equal(t, "d0", d[0].Decode)
}

// Guards against counting memory twice at a new home that hears of it from the engine
// before it hears of the booking from its owner.
func TestAdoptedBookingIsNotCountedTwice(t *testing.T) {
	b := newBook(2, 1)
	b.MemoryReported(start, "d0", 6000)
	b.Adopt(start, Booking{Request: "1", Owner: owner, Decode: "d0", Tokens: 4000})
	assert.Equal(t, 6000, b.engines["d0"].heldTokens())
	b.Adopt(start, Booking{Request: "2", Owner: owner, Decode: "d0", Tokens: 3000})
	assert.Equal(t, 7000, b.engines["d0"].heldTokens())
}

func TestReportThatCountsEndedBookingShowsNoUntrackedMemory(t *testing.T) {
	b := newBook(2, 1)
	submitOne(t, b, 0, request("1", 5000, 0))
	b.Served(at(2*time.Second), "1")
	b.MemoryReported(at(2500*time.Millisecond), "d0", 5000)
	assert.Zero(t, b.engines["d0"].untracked)
	b.MemoryReported(at(4*time.Second), "d0", 5000)
	assert.Equal(t, 5000, b.engines["d0"].untracked)
}

func TestRestartedEngineHasNoBookings(t *testing.T) {
	b := newBook(1, 1)
	submitOne(t, b, 0, request("1", 8000, 0))
	list := engines(1, 1)
	list[1].Incarnation = 2
	b.SetEngines(at(time.Second), list)
	assert.Zero(t, b.engines["d0"].booked)
	submitOne(t, b, time.Second, request("2", 8000, time.Second))
	b.Served(at(2*time.Second), "1")
	assert.Equal(t, 8080, b.engines["d0"].booked, "the end of the first request releases nothing of the second")
}

func TestNewHomeAdoptsBookingsAndDropsThoseOfGoneInstances(t *testing.T) {
	b := newBook(2, 1)
	b.Adopt(start, Booking{Request: "1", Owner: owner, Decode: "d0", Tokens: 8000})
	b.Adopt(start, Booking{Request: "1", Owner: owner, Decode: "d0", Tokens: 8000})
	assert.Equal(t, 8000, b.engines["d0"].booked)
	assert.Len(t, b.HeldBy(owner), 1)
	assert.Empty(t, b.Submit(start, request("2", 4000, 0)))
	b.DropOwner(start, func(o Owner) bool { return o == owner })
	assert.Zero(t, b.engines["d0"].booked)
	assert.Empty(t, b.Tick(start), "the queued request of the same owner is removed too")
}

func TestBookingExpiresWithoutReportFromOwner(t *testing.T) {
	b := newBook(1, 1)
	submitOne(t, b, 0, request("1", 8000, 0))
	require.Empty(t, b.Submit(at(b.o.BookingTimeout), request("2", 8000, b.o.BookingTimeout)))
	assert.Len(t, b.Tick(at(b.o.BookingTimeout+time.Millisecond)), 1)
}

func TestBusyPrefillEnginesGetNoFurtherPrompt(t *testing.T) {
	b := newBook(2, 4)
	used := map[string]int{}
	for n := range 2 {
		used[submitOne(t, b, 0, request(fmt.Sprint(n), 4000, 0)).Prefill]++
	}
	assert.Equal(t, map[string]int{"p0": 1, "p1": 1}, used)
	assert.Empty(t, b.Submit(start, request("3", 1000, 0)), "both prefill engines are busy for longer than DispatchAhead")
	b.read(at(100*time.Millisecond), "0")
	d := b.Tick(at(100 * time.Millisecond))
	require.Len(t, d, 1)
	assert.NotEmpty(t, d[0].Prefill)
}

func TestEnginesOfSameDataCentreArePaired(t *testing.T) {
	b := newBook(2, 2)
	list := engines(2, 2)
	for n := range list {
		list[n].DataCentre = fmt.Sprint("z", n%2)
	}
	b.SetEngines(start, list)
	for n := range 2 {
		d := submitOne(t, b, 0, request(fmt.Sprint(n), 1000, 0))
		assert.Equal(t, b.engines[d.Prefill].DataCentre, b.engines[d.Decode].DataCentre)
	}
}

func TestEngineChangingRoleIsUnusableUntilListedInNewRole(t *testing.T) {
	b := newBook(2, 1)
	b.RoleChanging(start, "p0", tlendpoint.Decode, at(8*time.Second))
	assert.False(t, b.engines["p0"].isUsable(at(time.Second)))
	list := engines(2, 1)
	list[0].Role = tlendpoint.Decode
	b.SetEngines(at(6*time.Second), list)
	assert.True(t, b.engines["p0"].isUsable(at(6*time.Second)))
}

// Guards against measuring only engines that become idle: an engine that always had a
// second prompt queued was never measured, so slow ones got prompts faster than they read them.
func TestSlownessIsMeasuredOnEngineThatIsNeverIdle(t *testing.T) {
	b := newBook(1, 1)
	b.o.Memory = 100_000
	now := time.Duration(0)
	slow := 3 * b.prefillTime(4000, 1)
	for n := range 20 {
		b.engines["p0"].freeAt = at(now)
		submitOne(t, b, now, request(fmt.Sprint("a", n), 4000, now))
		b.engines["p0"].freeAt = at(now)
		submitOne(t, b, now, request(fmt.Sprint("b", n), 4000, now))
		now += slow
		b.read(at(now), fmt.Sprint("a", n))
		now += slow
		b.read(at(now), fmt.Sprint("b", n))
		b.Served(at(now), fmt.Sprint("a", n))
		b.Served(at(now), fmt.Sprint("b", n))
	}
	assert.Greater(t, b.prefillTime(4000, b.engines["p0"].slowness), 2*slow/3, "expected at this engine, by the rate of all and its own slowness")
}
