package tlledger

import (
	"context"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlwire"
)

// view is what a claim sees of its key at one moment.
type view struct {
	id       tlclaim.ID
	decision tlclaim.Decision
	entry    tlclaim.Entry
	covered  bool
	watch    *watch
}

// watch is closed at the next record about a key.
type watch struct {
	changed chan struct{}
	waiting int
}

// look returns the view of a claim; one that has to wait watches its key.
func (s *Stream) look(c tlwire.Claim) view {
	id := tlclaim.NewID(c.Service, c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := view{
		id:       id,
		decision: s.table.Decide(id, c.Nonce, tlclaim.Digest(c.Digest)),
		entry:    s.table.Lookup(id),
		covered:  s.table.Coverage().Covers(c.Key),
	}
	if v.covered && v.decision == tlclaim.Wait {
		v.watch = s.watch(id)
	}
	return v
}

// watch needs the mutex.
func (s *Stream) watch(id tlclaim.ID) *watch {
	w, ok := s.changed[id]
	if !ok {
		w = &watch{changed: make(chan struct{})}
		s.changed[id] = w
	}
	w.waiting++
	return w
}

// waitForChange says whether the key of a view changed before ctx ended.
func (s *Stream) waitForChange(ctx context.Context, v view) bool {
	ok := wait(ctx, v.watch.changed)
	s.mu.Lock()
	defer s.mu.Unlock()
	v.watch.waiting--
	if v.watch.waiting == 0 && s.changed[v.id] == v.watch {
		delete(s.changed, v.id)
	}
	return ok
}
