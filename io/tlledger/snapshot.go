package tlledger

import (
	"context"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlwire"
)

// keySnapshot is the state of a claim's key at one moment.
type keySnapshot struct {
	id       tlclaim.ID
	decision tlclaim.Decision
	entry    tlclaim.Entry
	covered  bool
	watch    *keyWatch
}

// keyWatch has a channel that is closed when the next record about a key is applied.
type keyWatch struct {
	changed chan struct{}
	waiters int
}

// snapshot returns the state of a claim's key; if the claim has to wait, it also
// registers a watch of the key.
func (s *Stream) snapshot(c tlwire.Claim) keySnapshot {
	id := tlclaim.NewID(c.Service, c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := keySnapshot{
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

// watch adds a waiter to the key's watch; the caller holds s.mu.
func (s *Stream) watch(id tlclaim.ID) *keyWatch {
	w, ok := s.watches[id]
	if !ok {
		w = &keyWatch{changed: make(chan struct{})}
		s.watches[id] = w
	}
	w.waiters++
	return w
}

// waitForChange reports whether the key changed before ctx ended.
func (s *Stream) waitForChange(ctx context.Context, v keySnapshot) bool {
	ok := waitClosed(ctx, v.watch.changed)
	s.mu.Lock()
	defer s.mu.Unlock()
	v.watch.waiters--
	if v.watch.waiters == 0 && s.watches[v.id] == v.watch {
		delete(s.watches, v.id)
	}
	return ok
}
