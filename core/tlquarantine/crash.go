package tlquarantine

import (
	"slices"
	"time"
)

// crash is the end of an endpoint under a request whose answer had not begun.
type crash struct {
	at       time.Time
	endpoint string
	parts    []string
	// explainedBy is the part that was quarantined for it; empty if none was.
	explainedBy string
}

func (c crash) has(part string) bool {
	return slices.Contains(c.parts, part)
}

// Crashed records that an incarnation of an endpoint ended at a time under a request
// with the parts before its answer began. It returns the part to blame and the endpoints
// that ended under it; false if none is to blame, or is in quarantine already.
func (t *Table) Crashed(at time.Time, endpoint string, parts []string) (part string, endpoints []string, ok bool) {
	if len(parts) == 0 || t.isKnown(endpoint, parts) {
		return "", nil, false
	}
	held, _, isHeld := t.Held(at, parts)
	t.add(crash{at, endpoint, slices.Clone(parts), held})
	if isHeld {
		t.narrow(held, parts)
		return "", nil, false
	}
	return t.toBlame(at, parts)
}

// isKnown reports whether a crash was recorded before: owners tell a new home of theirs again.
func (t *Table) isKnown(endpoint string, parts []string) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool {
		return c.endpoint == endpoint && slices.Equal(c.parts, parts)
	})
}

// add adds a crash in the order of the times, and drops those that are evidence no more.
func (t *Table) add(c crash) {
	t.crashes = slices.DeleteFunc(t.crashes, func(o crash) bool { return c.at.Sub(o.at) >= EvidenceTime })
	if len(t.crashes) == maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	n := len(t.crashes)
	for n > 0 && t.crashes[n-1].at.After(c.at) {
		n--
	}
	t.crashes = slices.Insert(t.crashes, n, c)
}

// toBlame returns the last of the parts that has crashed enough endpoints, and which ones.
func (t *Table) toBlame(now time.Time, parts []string) (part string, endpoints []string, ok bool) {
	for _, p := range slices.Backward(parts) {
		if endpoints, ok := t.isToBlame(now, p); ok {
			return p, endpoints, true
		}
	}
	return "", nil, false
}

// Reassess returns a part that has crashed enough endpoints by what is known now, for
// when one that explained the crashes has been cleared; false if there is none.
func (t *Table) Reassess(now time.Time) (part string, endpoints []string, ok bool) {
	for _, c := range slices.Backward(t.crashes) {
		if c.explainedBy != "" {
			continue
		}
		if part, endpoints, ok := t.toBlame(now, c.parts); ok {
			return part, endpoints, true
		}
	}
	return "", nil, false
}

// Alive records that an incarnation of an endpoint has answered a request that was sent
// at a time: what looked like its end before that was none. It returns the parts that
// are in quarantine for too few crashes without them, and lifts their quarantine.
func (t *Table) Alive(now, sent time.Time, endpoint string) (lifted []string) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.endpoint == endpoint && c.at.Before(sent) })
	for part, h := range t.held.all() {
		if len(t.crashedUnder(part, part)) < h.crashes {
			lifted = append(lifted, part)
		}
	}
	return slices.DeleteFunc(lifted, func(part string) bool { return !t.Lift(now, part) })
}

// isToBlame reports whether a part has crashed enough endpoints, and which ones.
func (t *Table) isToBlame(now time.Time, part string) ([]string, bool) {
	if t.IsCleared(now, part) {
		return nil, false
	}
	endpoints := t.crashedUnder(part, "")
	if until, ok := t.expired.of(part); ok && now.Sub(until) < HoldTime {
		return endpoints, len(endpoints) > 0
	}
	return endpoints, len(endpoints) >= MinCrashes
}

// crashedUnder returns the different endpoints that ended under a part in the crashes
// that another one explains, or none if it is empty. Those at one moment count as one
// where many requests share the part: a fault of the network cuts off many endpoints at
// once, but hardly with the same request at each.
func (t *Table) crashedUnder(part, explainedBy string) []string {
	var endpoints []string
	var last time.Time
	for _, c := range t.crashes {
		isSameMoment := !isRequest(part) && len(endpoints) > 0 && c.at.Sub(last) < momentTime
		if c.explainedBy != explainedBy || !c.has(part) || slices.Contains(endpoints, c.endpoint) || isSameMoment {
			continue
		}
		endpoints = append(endpoints, c.endpoint)
		last = c.at
	}
	return endpoints
}

// explain attributes the crashes under a part to it.
func (t *Table) explain(part string) {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.explainedBy == "" && c.has(part) {
			c.explainedBy = part
		}
	}
}

// unexplain makes the crashes that were attributed to a part evidence against others again.
func (t *Table) unexplain(part string) {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.explainedBy == part {
			c.explainedBy = ""
		}
	}
}
