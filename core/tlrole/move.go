package tlrole

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

// orderInterval is the least time between two orders to one engine, since the first may be carried out seconds late.
const orderInterval = 15 * time.Second

// picker picks the engines that change from one role to another.
type picker struct {
	to tlendpoint.Role
	// free holds the engines that may be picked.
	free []Engine
	// perDataCentre counts the engines that have the old role.
	perDataCentre map[string]int
	versions      versionTable
}

// moves picks at most n engines of a role, and never a version's last decode engine. Those
// of the version with the largest surplus come first, then idle engines, then the slowest to
// decode or the fastest to prefill, then those in the data centre with most engines of that role.
func (s State) moves(o Options, n int, from, to tlendpoint.Role) []Move {
	p := picker{to: to, perDataCentre: map[string]int{}, versions: s.versionTable(o)}
	for _, e := range s.Engines {
		if e.Role != from || e.IsMoving || !e.isInUse() {
			continue
		}
		p.perDataCentre[e.DataCentre]++
		if e.SinceOrder >= orderInterval {
			p.free = append(p.free, e)
		}
	}
	var list []Move
	for len(list) < n {
		e, ok := p.next()
		if !ok {
			break
		}
		list = append(list, Move{Engine: e.Endpoint, Role: to})
	}
	return list
}

// next picks an engine; false if none is left.
func (p *picker) next() (Engine, bool) {
	best := -1
	for i, e := range p.free {
		if p.to == tlendpoint.Prefill && p.versions[e.Version].decoders < 2 {
			continue
		}
		if best < 0 || p.isPreferred(e, p.free[best]) {
			best = i
		}
	}
	if best < 0 {
		return Engine{}, false
	}
	e := p.free[best]
	p.free = append(p.free[:best], p.free[best+1:]...)
	p.perDataCentre[e.DataCentre]--
	p.versions.move(e.Version, p.to)
	return e, true
}

// isPreferred reports whether an engine is to take the role before another. A prefill
// engine reads prompts for its own version only. A slow engine is a poor prefill engine:
// each prompt that it reads delays a first event, while a decode engine that is slow can
// be given short answers.
func (p *picker) isPreferred(e, than Engine) bool {
	if a, b := p.versions[e.Version].surplus, p.versions[than.Version].surplus; a != b {
		return a > b == (p.to == tlendpoint.Decode)
	}
	if e.IsBusy != than.IsBusy {
		return !e.IsBusy
	}
	if a, b := e.slowness(), than.slowness(); a != b {
		return a > b == (p.to == tlendpoint.Decode)
	}
	return p.perDataCentre[e.DataCentre] > p.perDataCentre[than.DataCentre]
}
