package tlquarantine

import (
	"slices"
	"time"
)

// crash is the end of an engine under a request whose answer had not begun.
type crash struct {
	at     time.Time
	engine string
	parts  []string
	// explainedBy is the part that was quarantined for it; empty if none was.
	explainedBy string
}

func (c crash) has(part string) bool {
	return slices.Contains(c.parts, part)
}

// Crashed records that an incarnation of an engine ended under a request with the
// parts before its answer began. It returns the part to blame and the engines that
// ended under it; false if none is to blame, or is in quarantine already.
func (t *Table) Crashed(now time.Time, engine string, parts []string) (part string, engines []string, ok bool) {
	if len(parts) == 0 {
		return "", nil, false
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return now.Sub(c.at) >= EvidenceTime })
	if len(t.crashes) == maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	held, _, isHeld := t.Held(now, parts)
	t.crashes = append(t.crashes, crash{now, engine, slices.Clone(parts), held})
	if isHeld {
		return "", nil, false
	}
	for _, p := range slices.Backward(parts) {
		if engines, blamed := t.isToBlame(now, p); blamed {
			return p, engines, true
		}
	}
	return "", nil, false
}

// isToBlame reports whether a part has crashed enough engines, and which ones.
func (t *Table) isToBlame(now time.Time, part string) ([]string, bool) {
	if answered, ok := t.answered.of(part); ok && now.Sub(answered) < EvidenceTime {
		return nil, false
	}
	engines := t.crashedUnder(part)
	if until, ok := t.expired.of(part); ok && now.Sub(until) < HoldTime {
		return engines, len(engines) > 0
	}
	return engines, len(engines) >= MinCrashes
}

// crashedUnder returns the different engines that ended under a part, one for each moment.
func (t *Table) crashedUnder(part string) []string {
	var engines []string
	var last time.Time
	for _, c := range t.crashes {
		if c.explainedBy != "" || !c.has(part) || slices.Contains(engines, c.engine) || len(engines) > 0 && c.at.Sub(last) < momentTime {
			continue
		}
		engines = append(engines, c.engine)
		last = c.at
	}
	return engines
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
