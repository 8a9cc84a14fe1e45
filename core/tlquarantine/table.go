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
	// maxRequests bounds the requests whose completed answers are remembered: hardly any
	// comes again.
	maxRequests = 4_000
	// maxCrashes bounds the crashes that are kept; the oldest are dropped.
	maxCrashes = 256
)

// Table holds the parts in quarantine and the evidence against others.
type Table struct {
	// crashes are in the order of their times.
	crashes []crash
	// answered holds when an answer on a part was last completed; requests that no other
	// is like must not push out the parts that many share.
	answered         *bounded[time.Time]
	answeredRequests *bounded[time.Time]
	// held holds the parts in quarantine.
	held *bounded[hold]
	// expired holds until when a part was in quarantine whose HoldTime has ended since.
	expired *bounded[time.Time]
}

// hold is the quarantine of a part.
type hold struct {
	since, until time.Time
	// crashes is how many crashes it rests on; 0 if another table knows them.
	crashes int
	// beside lists the parts that all the crashed requests had, the one in quarantine
	// included; empty if they are not known.
	beside []string
	// trials counts the trials so far, the last of which began at lastTrial.
	trials    int
	lastTrial time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		answered:         newBounded[time.Time](maxParts),
		answeredRequests: newBounded[time.Time](maxRequests),
		held:             newBounded[hold](maxParts),
		expired:          newBounded[time.Time](maxParts),
	}
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
	h, ok := t.held.of(part)
	isNews := !ok || !now.Before(h.until)
	if isNews {
		h = hold{since: until.Add(-HoldTime)}
		h.trials = h.trialsDue(now)
	}
	h.until = until
	if endpoints, ok := t.isToBlame(now, part); ok {
		h.crashes, h.beside = min(len(endpoints), MinCrashes), t.partsBeside(part)
	}
	t.held.set(part, h)
	t.expired.remove(part)
	t.explain(part)
	return isNews
}

// Lift ends the quarantine of a part; it reports whether it was in force.
func (t *Table) Lift(now time.Time, part string) bool {
	h, ok := t.held.of(part)
	if !ok || !now.Before(h.until) {
		return false
	}
	t.held.remove(part)
	t.unexplain(part)
	return true
}

// Held returns the first part of a request that is in quarantine and the time left
// until its end; false if none is.
func (t *Table) Held(now time.Time, parts []string) (part string, left time.Duration, ok bool) {
	if t.held.isEmpty() {
		return "", 0, false
	}
	for _, p := range parts {
		if h, ok := t.held.of(p); ok && now.Before(h.until) {
			return p, h.until.Sub(now), true
		}
	}
	return "", 0, false
}

// Expired returns the parts whose time in quarantine has ended since the last call.
func (t *Table) Expired(now time.Time) []string {
	var list []string
	for part, h := range t.held.all() {
		if !now.Before(h.until) {
			list = append(list, part)
		}
	}
	for _, part := range list {
		h, _ := t.held.of(part)
		t.held.remove(part)
		t.expired.set(part, h.until)
	}
	return list
}

// Answered records that an answer to a request with the parts is complete, which clears
// them of all suspicion. It returns those that were in quarantine.
func (t *Table) Answered(now time.Time, parts []string) (lifted []string) {
	for _, p := range parts {
		t.answeredOf(p).set(p, now)
		t.expired.remove(p)
		if t.Lift(now, p) {
			lifted = append(lifted, p)
		}
	}
	return lifted
}

// IsCleared reports whether an answer on a part was completed lately.
func (t *Table) IsCleared(now time.Time, part string) bool {
	answered, ok := t.answeredOf(part).of(part)
	return ok && now.Sub(answered) < EvidenceTime
}

func (t *Table) answeredOf(part string) *bounded[time.Time] {
	if isRequest(part) {
		return t.answeredRequests
	}
	return t.answered
}
