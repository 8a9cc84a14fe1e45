package tlplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// randomBook returns a book in a random state at start, with queued requests.
func randomBook(r *rand.Rand) *Book {
	b := newUnmeasuredBook(r.IntN(4), 1+r.IntN(5))
	if r.IntN(4) > 0 {
		b.MergeRates(testRates(1.0/55_000, 0.005))
	}
	for n := range r.IntN(30) {
		id := fmt.Sprint("runs", n)
		b.Submit(start, request(id, 100+r.IntN(4000), 0))
		if r.IntN(3) > 0 {
			b.read(start, id)
		}
		if r.IntN(4) == 0 {
			b.Served(start, id)
		}
	}
	for _, e := range b.order {
		e.freeAt = at(time.Duration(r.IntN(400)) * time.Millisecond)
		e.directFrom = at(time.Duration(r.IntN(3)-1) * time.Millisecond)
		if r.IntN(8) == 0 {
			e.backoffUntil = at(time.Second)
		}
	}
	b.waiting = nil
	for n := range 1 + r.IntN(20) {
		q := request(fmt.Sprint("waits", n), 100+r.IntN(9000), 0)
		q.Due = at(time.Duration(100+r.IntN(3000)) * time.Millisecond)
		q.Gap = time.Duration(r.IntN(3)) * 150 * time.Millisecond
		if r.IntN(5) == 0 {
			q.Avoid = []string{fmt.Sprint("p", r.IntN(3)), fmt.Sprint("d", r.IntN(3))}
		}
		if r.IntN(8) == 0 {
			q.PrefillKeptUntil = at(time.Second)
		}
		b.Enqueue(start, q)
	}
	if r.IntN(2) == 0 {
		b.mixVersions(r)
	}
	return b
}

// mixVersions gives engines and some of the queued requests versions at random.
func (b *Book) mixVersions(r *rand.Rand) {
	versions := []string{"v1", "v2"}
	for _, e := range b.order {
		e.Version = versions[r.IntN(2)]
	}
	for _, q := range b.waiting {
		if r.IntN(4) == 0 {
			q.Version = versions[r.IntN(2)]
		}
	}
}

func TestNoRequestThatCouldBePlacedIsPassedOver(t *testing.T) {
	passedOver, placeable := 0, 0
	for seed := range uint64(400) {
		b := randomBook(rand.New(rand.NewPCG(seed, 5)))
		p := b.newPass(start, nil)
		b.readDelay, b.firstDelay = p.readDelay, b.firstEventDelay()
		canDecide := b.canDecideAny(start, &p)
		for _, r := range b.waiting {
			_, ok := b.choose(start, r, p.of(start, b, r))
			if ok {
				placeable++
				require.True(t, canDecide, "seed %d, %s", seed, r.ID)
				require.True(t, p.mayPlace(start, b, r), "seed %d, %s", seed, r.ID)
			} else if !p.mayPlace(start, b, r) {
				passedOver++
			}
			p.queued += b.prefillTime(r.Prompt, 1)
		}
	}
	assert.Greater(t, passedOver, 300)
	assert.Greater(t, placeable, 300)
}

// readingBook returns a book of 140 engines with room in memory, whose prefill
// engines are all busy, and 200 queued requests that wait for them.
func readingBook() *Book {
	b := newBook(22, 118)
	for n := range 22 {
		b.Submit(start, request(fmt.Sprint("reads", n), 5000, 0))
	}
	for n := range 118 {
		id := fmt.Sprint("runs", n)
		b.Submit(start, longWaitingRequest(id))
		b.read(start, id)
	}
	for n := range 200 {
		b.Submit(start, longWaitingRequest(fmt.Sprint("waits", n)))
	}
	return b
}

// A look at each engine for each queued request at every report left the home of a
// large fleet no time to answer, so that its instances took it for gone.
func TestTickWithBusyPrefillEnginesAllocatesNothingAndMissesNoDecision(t *testing.T) {
	b := readingBook()
	n := len(b.waiting)
	require.Greater(t, n, 150)
	assert.Zero(t, testing.AllocsPerRun(100, func() { b.Tick(start) }))
	b.read(at(time.Millisecond), "reads7")
	assert.Len(t, b.Tick(at(time.Millisecond)), 1, "a prefill engine is free")
}

// BenchmarkReading measures a Tick, as made at each report, of a large fleet whose
// requests wait for prefill engines.
func BenchmarkReading(b *testing.B) {
	k := readingBook()
	b.ReportAllocs()
	for b.Loop() {
		k.Tick(start)
	}
}
