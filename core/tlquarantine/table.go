package tlquarantine

import "time"

const (
	// MinCrashes is the number of crashes after which a part is quarantined: fewer may
	// be chance, and a home that takes over has not seen those that came before it.
	MinCrashes = 3
	// HoldTime is how long a part stays in quarantine; for as long after it, a single
	// further crash puts it back.
	HoldTime = 10 * time.Minute
	// EvidenceTime is how long a crash is evidence against a part, and an answer for it.
	EvidenceTime = 5 * time.Minute
	// momentTime is the time within which crashes count as one.
	momentTime = 200 * time.Millisecond
	// maxParts bounds the parts that are held, and those on which answers were completed.
	maxParts = 20_000
	// maxCrashes bounds the crashes that are kept; the oldest are dropped.
	maxCrashes = 256
)

// Table holds the parts in quarantine and the evidence against others.
type Table struct {
	crashes []crash
	// answered holds when an answer on a part was last completed.
	answered *times
	// held holds until when parts are in quarantine.
	held *times
	// expired holds until when a part was in quarantine whose HoldTime has ended since.
	expired *times
}

// New returns an empty table.
func New() *Table {
	return &Table{answered: newTimes(), held: newTimes(), expired: newTimes()}
}

// Quarantine puts a part in quarantine until a time, at most HoldTime from now; the
// crashes under it are no evidence against others then. It reports whether the part
// was free before.
func (t *Table) Quarantine(now, until time.Time, part string) bool {
	if limit := now.Add(HoldTime); until.After(limit) {
		until = limit
	}
	if !until.After(now) {
		return false
	}
	before, wasHeld := t.held.of(part)
	t.held.set(part, until)
	t.expired.remove(part)
	t.explain(part)
	return !wasHeld || !now.Before(before)
}

// Lift ends the quarantine of a part; it reports whether it was in force.
func (t *Table) Lift(now time.Time, part string) bool {
	until, ok := t.held.of(part)
	if !ok || !now.Before(until) {
		return false
	}
	t.held.remove(part)
	t.unexplain(part)
	return true
}

// Held returns the first part of a prompt that is in quarantine and the time left
// until its end; false if none is.
func (t *Table) Held(now time.Time, parts []string) (part string, left time.Duration, ok bool) {
	if t.held.isEmpty() {
		return "", 0, false
	}
	for _, p := range parts {
		if until, ok := t.held.of(p); ok && now.Before(until) {
			return p, until.Sub(now), true
		}
	}
	return "", 0, false
}

// Expired returns the parts whose time in quarantine has ended since the last call.
func (t *Table) Expired(now time.Time) []string {
	var list []string
	for part, until := range t.held.all() {
		if !now.Before(until) {
			list = append(list, part)
		}
	}
	for _, part := range list {
		until, _ := t.held.of(part)
		t.held.remove(part)
		t.expired.set(part, until)
	}
	return list
}

// Answered records that an answer on a prompt with the parts is complete, which clears
// them of all suspicion. It returns those that were in quarantine.
func (t *Table) Answered(now time.Time, parts []string) (lifted []string) {
	for _, p := range parts {
		t.answered.set(p, now)
		t.expired.remove(p)
		if t.Lift(now, p) {
			lifted = append(lifted, p)
		}
	}
	return lifted
}
