package tlquota

import "time"

// troubleFor is how long a trouble is played, after usualFor.
const troubleFor = 24 * time.Second

// event is what happens to a fleet at a time from the beginning of a play.
type event struct {
	at time.Duration
	do func(f *simFleet, now time.Time)
}

// trouble is events in the order of their times.
type trouble struct {
	name   string
	events []event
}

// homeTroubles returns the troubles that make homes change, fall silent or be two at once.
func homeTroubles() []trouble {
	at := func(s float64) time.Duration { return usualFor + time.Duration(s*float64(time.Second)) }
	killHome := func(f *simFleet, now time.Time) { f.kill(now, f.home(now, simInstances-1), 2*time.Second) }
	freezeHome := func(f *simFleet, now time.Time) { f.freeze(now, f.home(now, simInstances-1), 2*time.Second) }
	estrangeHome := func(f *simFleet, now time.Time) {
		f.estranged[f.home(now, simInstances-1)] = now.Add(2 * time.Second)
	}
	slowHome := func(f *simFleet, now time.Time) { f.slowUntil = now.Add(1500 * time.Millisecond) }
	killThird := func(f *simFleet, now time.Time) { f.killSome(now, simInstances/3) }
	killMost := func(f *simFleet, now time.Time) { f.killSome(now, simInstances*3/4) }
	killAll := func(f *simFleet, now time.Time) { f.killSome(now, simInstances) }
	split := func(few int) func(f *simFleet, now time.Time) {
		return func(f *simFleet, now time.Time) { f.split(now, few, 2*time.Second) }
	}
	var restarts []event
	for k := range simInstances {
		restarts = append(restarts, event{at(float64(k/5) * 1.2), func(f *simFleet, now time.Time) { f.kill(now, k, 700*time.Millisecond) }})
	}
	return []trouble{
		{"1 calm", nil},
		{"2 the home is killed, and the next", []event{{at(1), killHome}, {at(4), killHome}, {at(7), killHome}}},
		{"3 the home stands still, and the next", []event{{at(1), freezeHome}, {at(5), freezeHome}, {at(8), freezeHome}}},
		{"4 the home is not the home in its own view", []event{{at(1), estrangeHome}, {at(5), estrangeHome}}},
		{"5 the home is slow", []event{{at(1), slowHome}, {at(5), slowHome}}},
		{"6 a third of the instances are killed, twice", []event{{at(1), killThird}, {at(5), killThird}}},
		{"7 all restart, five at a time", restarts},
		{"8 the home stands still, a third are killed, the next is slow", []event{{at(1), freezeHome}, {at(2), killThird}, {at(4.5), slowHome}, {at(6), estrangeHome}}},
		{"9 the fleet is split in halves, twice", []event{{at(1), split(5)}, {at(5), split(5)}}},
		{"10 a quarter are cut from the rest, three times", []event{{at(1), split(3)}, {at(4), split(3)}, {at(7), split(3)}}},
		{"11 some and the home are cut from the rest, twice", []event{{at(1), split(1)}, {at(5), split(1)}}},
		{"12 most instances are killed, twice", []event{{at(1), killMost}, {at(5), killMost}}},
		{"13 all instances are killed, twice", []event{{at(1), killAll}, {at(5), killAll}}},
		{"14 a third are killed in a split, then the home, and it is split again", []event{{at(1), split(5)}, {at(2), killThird}, {at(3.5), killHome}, {at(6), split(3)}}},
	}
}
