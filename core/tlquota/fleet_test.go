package tlquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// simInstances is the number of instances, of which the first simCandidates may be the home.
	simInstances  = 66
	simCandidates = 6
	// simPause is how long an instance doesn't ask a home that gave no answer.
	simPause = 500 * time.Millisecond
)

// outage is a time in which a candidate gives no answer; it has been killed, or stands still.
type outage struct {
	from, to time.Time
	isKill   bool
}

// silence is since when a home gives an instance no answer, and until when it isn't asked.
type silence struct {
	since, until time.Time
}

// simFleet is a fleet of instances under virtual time. Each has its own view of who is the home.
type simFleet struct {
	random  *rand.Rand
	limit   Limit
	ledgers []*Ledger
	own     []*Reserve
	// spent is what each instance was granted, as it tells a home.
	spent []*Spending
	// outages has those of each candidate, in order of time; a killed one comes back as the youngest.
	outages [simCandidates][]outage
	// estranged has until when a candidate takes the next for the home, though all others hold it for the home.
	estranged [simCandidates]time.Time
	// slowUntil has until when a home's answers come too late.
	slowUntil time.Time
	// noticing is how long after a candidate's end or return each instance knows of it.
	noticing  [simInstances][simCandidates]time.Duration
	silent    [simInstances][simCandidates]silence
	deadFrom  [simInstances]time.Time
	deadUntil [simInstances]time.Time
	splits    []split
	checked   [simCandidates]time.Time
	grants    grants
}

func newSimFleet(r *rand.Rand, l Limit) *simFleet {
	f := &simFleet{random: r, limit: l}
	for k := range simInstances {
		f.ledgers = append(f.ledgers, nil)
		f.own = append(f.own, nil)
		f.spent = append(f.spent, nil)
		f.start(k)
		for c := range simCandidates {
			f.noticing[k][c] = time.Duration(r.Int64N(int64(600 * time.Millisecond)))
		}
	}
	return f
}

func (f *simFleet) start(k int) {
	f.ledgers[k] = NewLedger(window)
	f.ledgers[k].SetFleet(start, simInstances, simInstances)
	f.own[k] = NewReserve(window)
	f.own[k].SetFleet(start, simInstances, k)
	f.spent[k] = NewSpending(window)
}

// isAnswering reports whether a candidate runs.
func (f *simFleet) isAnswering(now time.Time, c int) bool {
	for _, o := range f.outages[c] {
		if !now.Before(o.from) && now.Before(o.to) {
			return false
		}
	}
	return true
}

// born returns how often a candidate has been killed, as an instance knows at a time.
func (f *simFleet) born(now time.Time, c int) int {
	n := 0
	for _, o := range f.outages[c] {
		if o.isKill && !now.Before(o.from) {
			n++
		}
	}
	return n
}

// isHeldForLive reports whether an instance holds a candidate for live: an end is noticed
// after the silence that gossip allows, a return sooner.
func (f *simFleet) isHeldForLive(now time.Time, k, c int) bool {
	for _, o := range f.outages[c] {
		if f.isNoticed(now, k, c, o.from, o.to) {
			return false
		}
	}
	return !f.isHeldForCut(now, k, c)
}

// home returns the candidate that an instance holds for the home: the oldest that lives.
// Each is seen as of another moment, so that for a while there may be more than two homes.
func (f *simFleet) home(now time.Time, k int) int {
	best := -1
	for c := range simCandidates {
		late := now
		if c != k {
			late = now.Add(-f.noticing[k][c])
			if !f.isHeldForLive(now, k, c) {
				continue
			}
		} else if now.Before(f.estranged[c]) {
			continue
		}
		if best < 0 || f.born(late, c) < f.born(late, best) {
			best = c
		}
	}
	return max(best, 0)
}

// request has instance k decide a request.
func (f *simFleet) request(now time.Time, k int, cost float64) {
	if now.Before(f.deadUntil[k]) || k < simCandidates && !f.isAnswering(now, k) {
		return
	}
	h := f.home(now, k)
	var g Grant
	by := Home{fmt.Sprint(h), uint64(f.born(now, h))}
	switch {
	case h == k:
		g = f.ask(now, k, by, cost)
	case now.Before(f.silent[k][h].until):
		g, by = f.takeOwn(now, k, h, cost), Home{}
	case !f.isAnswering(now, h) || f.isCut(now, k, h) || f.home(now, h) != h:
		g, by = f.markSilent(now, k, h, cost), Home{}
	case now.Before(f.slowUntil):
		t := f.spent[k].Tell(now, "o", by, f.limit.Rate)
		f.ledgers[h].Take(now, "o", f.limit, cost, t.Spent...)
		f.spent[k].Forget(t)
		g, by = f.markSilent(now, k, h, cost), Home{}
	default:
		f.silent[k][h] = silence{}
		g = f.ask(now, k, by, cost)
	}
	if g.IsGranted {
		f.grants.add(now, cost)
		f.spent[k].Add(now, "o", by, f.limit.Rate, cost)
	}
}

// ask has the home decide, which is told what it doesn't know.
func (f *simFleet) ask(now time.Time, k int, h Home, cost float64) Grant {
	n, _ := strconv.Atoi(h.Name)
	f.checkFleet(now, n)
	return f.ledgers[n].Take(now, "o", f.limit, cost, f.spent[k].Tell(now, "o", h, f.limit.Rate).Spent...)
}

func (f *simFleet) markSilent(now time.Time, k, h int, cost float64) Grant {
	s := &f.silent[k][h]
	if s.since.IsZero() {
		s.since = now
	}
	s.until = now.Add(simPause)
	return f.takeOwn(now, k, h, cost)
}

func (f *simFleet) takeOwn(now time.Time, k, h int, cost float64) Grant {
	return f.own[k].Take(now, f.silent[k][h].since, "o", f.limit, cost, f.spent[k].Sum(now, "o", f.limit.Rate))
}

// kill ends an instance, which comes back with nothing known.
func (f *simFleet) kill(now time.Time, k int, d time.Duration) {
	if k < simCandidates {
		f.outages[k] = append(f.outages[k], outage{now, now.Add(d), true})
	}
	f.deadFrom[k], f.deadUntil[k] = now, now.Add(d)
	f.start(k)
}

// killSome ends some instances for a second.
func (f *simFleet) killSome(now time.Time, n int) {
	for _, k := range f.random.Perm(simInstances)[:n] {
		f.kill(now, k, time.Second)
	}
}

func (f *simFleet) freeze(now time.Time, c int, d time.Duration) {
	f.outages[c] = append(f.outages[c], outage{now, now.Add(d), false})
}

// drawCost draws the cost of a request as the sites of many organisations draw it: most
// cost little, generations some thousands, and a fifth of them tens of thousands.
func drawCost(r *rand.Rand) float64 {
	kind := r.Float64()
	spread := math.Exp(0.6 * r.NormFloat64())
	switch {
	case kind < 0.4:
		return 200
	case kind < 0.6:
		return 300 + min(350*spread, 900)
	case kind < 0.85:
		return 300 + min(6300*spread, 17_000)
	default:
		return 300 + min(13_300*spread, 39_900)
	}
}

// meanCost is about the mean of drawCost.
const meanCost = 4700

// Guards against a hot organisation that gets more than its quota while instances are
// killed, stand still, disagree on its home, restart in turn, find the home slow or are
// split in parts.
func TestHotOrganisationIsHeldToItsQuotaWhileHomesChange(t *testing.T) {
	playHomesThatChange(t, 47_000, 110_000, 175_655, 403_500)
}

// Guards against the same where the slack, a fixed number of tokens, is next to nothing.
func TestHotOrganisationIsHeldToALargerQuotaWhileHomesChange(t *testing.T) {
	playHomesThatChange(t, 1_000_000)
}

// playHomesThatChange plays each trouble for organisations with quotas of the given rates.
func playHomesThatChange(t *testing.T, rates ...float64) {
	for _, c := range homeTroubles() {
		for _, rate := range rates {
			t.Run(fmt.Sprintf("%s, quota of %g", c.name, rate), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(5) {
					operator := Limit{Rate: rate, Burst: rate}
					grants := playTrouble(rand.New(rand.NewPCG(seed, 52)), rate, c.events)
					assert.LessOrEqual(t, grants.most(), allowed(operator), "seed %d", seed)
					assert.GreaterOrEqual(t, grants.sum(), 0.75*rate*(usualLoad*(usualFor+troubleFor-13*time.Second).Seconds()+13), "seed %d: what is granted in all", seed)
				}
			})
		}
	}
}

// playTrouble has an organisation with a quota of a rate send its usual, then far more while
// things happen, and returns what it is granted.
func playTrouble(r *rand.Rand, rate float64, events []event) grants {
	f := newSimFleet(r, Limit{Rate: 1.05 * rate, Burst: 1.05 * rate, Slack: 0.4 * slack, Most: rate*window.Seconds() + rate + 0.4*slack, Version: 1})
	for now := start; now.Before(start.Add(usualFor + troubleFor)); {
		load := usualLoad
		if since := now.Sub(start); since > usualFor-time.Second && since < usualFor+12*time.Second {
			load = hotLoad
		}
		now = now.Add(time.Duration(r.ExpFloat64() * meanCost / (rate * load) * float64(time.Second)))
		for len(events) > 0 && now.Sub(start) >= events[0].at {
			events[0].do(f, now)
			events = events[1:]
		}
		f.request(now, r.IntN(simInstances), drawCost(r))
	}
	return f.grants
}
