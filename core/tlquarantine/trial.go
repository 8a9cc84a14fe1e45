package tlquarantine

import (
	"slices"
	"time"
)

// trialDelays is when, after it began, requests with a part in quarantine may be tried
// again, one each time, whatever they are. A part that crashes endpoints costs as many
// crashes more at the most.
var trialDelays = []time.Duration{5 * time.Second, 45 * time.Second, 5 * time.Minute}

// trialInterval is the least time between two trials of a part, in which most show what came of them.
const trialInterval = 2 * time.Second

// Try reports whether a request with a part in quarantine may be sent all the same, once,
// to see whether the part was blamed wrongly. A request that lacks one of the parts that
// the crashed ones had in common is tried at once, since an answer to it tells which of
// them is to blame; others are tried at growing delays. It returns the part that is
// tried, and how often it has been by then.
func (t *Table) Try(now time.Time, parts []string) (part string, trials int, ok bool) {
	part, ok = t.MayTry(now, parts)
	if !ok {
		return "", 0, false
	}
	h, _ := t.held.of(part)
	h.trials++
	h.lastTrial = now
	t.held.set(part, h)
	return part, h.trials, true
}

// MayTry reports whether Try would have a request tried now, and which part of it.
func (t *Table) MayTry(now time.Time, parts []string) (part string, ok bool) {
	for _, p := range parts {
		h, isHeld := t.held.of(p)
		if !isHeld || !now.Before(h.until) {
			continue
		}
		if part != "" || !h.mayTry(now, parts) {
			// A request with two parts in quarantine would not tell which one is to blame.
			return "", false
		}
		part = p
	}
	return part, part != ""
}

// Tried records how often a part has been tried by its home's word.
func (t *Table) Tried(now time.Time, part string, trials int) {
	if h, ok := t.held.of(part); ok && trials > h.trials {
		h.trials, h.lastTrial = trials, now
		t.held.set(part, h)
	}
}

// Beside returns the parts that the requests had in common for whose crashes a part is in
// quarantine, and how often it has been tried.
func (t *Table) Beside(part string) (beside []string, trials int) {
	h, _ := t.held.of(part)
	return h.beside, h.trials
}

// SetBeside records those parts by another instance's word.
func (t *Table) SetBeside(part string, beside []string) {
	if h, ok := t.held.of(part); ok && h.crashes == 0 {
		h.beside = slices.Clone(beside)
		t.held.set(part, h)
	}
}

func (h hold) mayTry(now time.Time, parts []string) bool {
	if h.trials >= len(trialDelays) || now.Sub(h.lastTrial) < trialInterval {
		return false
	}
	return h.isTelling(parts) || now.Sub(h.since) >= trialDelays[h.trials]
}

// isTelling reports whether a request lacks a part that all the crashed ones had.
func (h hold) isTelling(parts []string) bool {
	return slices.ContainsFunc(h.beside, func(p string) bool { return !slices.Contains(parts, p) })
}

// trialsDue returns how many trials others may have made by now.
func (h hold) trialsDue(now time.Time) int {
	n := 0
	for n < len(trialDelays) && now.Sub(h.since) >= trialDelays[n] {
		n++
	}
	return n
}

// partsBeside returns the parts that all requests with a part had which crashed endpoints.
func (t *Table) partsBeside(part string) []string {
	var beside []string
	for _, c := range t.crashes {
		if c.explainedBy != "" || !c.has(part) {
			continue
		}
		if beside == nil {
			beside = slices.Clone(c.parts)
			continue
		}
		beside = slices.DeleteFunc(beside, func(p string) bool { return !c.has(p) })
	}
	return beside
}

// narrow records that a request with a part in quarantine has crashed an endpoint: what
// it lacks is not to blame.
func (t *Table) narrow(part string, parts []string) {
	h, ok := t.held.of(part)
	if !ok || len(h.beside) == 0 {
		return
	}
	h.beside = slices.DeleteFunc(slices.Clone(h.beside), func(p string) bool { return !slices.Contains(parts, p) })
	t.held.set(part, h)
}
