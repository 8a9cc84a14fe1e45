package tlbooking

import (
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlrole"
)

// book is the book of one service with those who wait for its decisions.
type book struct {
	mu      sync.Mutex
	b       *tlplace.Book
	waiters map[string]*waiter
	home    string
	// decidesFrom is when decisions begin: a new home learns first what places there are.
	decidesFrom time.Time
}

// waiter waits for the decision on one request.
type waiter struct {
	owner   tlplace.Owner
	decided chan tlplace.Decision
	asked   time.Time
}

// submit takes in a request, or goes on waiting for one that is known.
func (k *book) submit(now time.Time, r tlplace.Request) chan tlplace.Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w := k.waiters[r.ID]; w != nil {
		w.asked = now
		return w.decided
	}
	w := &waiter{owner: r.Owner, decided: make(chan tlplace.Decision, 1), asked: now}
	k.waiters[r.ID] = w
	if now.Before(k.decidesFrom) {
		k.b.Enqueue(now, r)
		return w.decided
	}
	k.deliver(k.b.Submit(now, r))
	return w.decided
}

// decide makes the decisions that are due; the book is locked.
func (k *book) decide(now time.Time) {
	if now.Before(k.decidesFrom) {
		return
	}
	k.deliver(k.b.Tick(now))
}

// learnUntil puts decisions off until a time.
func (k *book) learnUntil(t time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decidesFrom = t
}

// deliver hands decisions to their waiters; the book is locked.
func (k *book) deliver(list []tlplace.Decision) {
	for _, d := range list {
		if w := k.waiters[d.Request]; w != nil {
			w.decided <- d
		}
	}
}

// claim forgets a waiter whose decision has been taken.
func (k *book) claim(request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, request)
}

func (k *book) withdraw(now time.Time, request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, request)
	k.b.Withdraw(now, request)
	k.decide(now)
}

// tick decides what has waited, and withdraws what nobody asks for any more.
func (k *book) tick(now time.Time, abandoned time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, w := range k.waiters {
		if now.Sub(w.asked) > abandoned {
			delete(k.waiters, id)
			k.b.Withdraw(now, id)
		}
	}
	k.decide(now)
}

func (k *book) isQuiet() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiters) == 0 && !k.b.IsWaiting()
}

func (k *book) setEngines(now time.Time, list []tlendpoint.Endpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.SetEngines(now, list)
	k.decide(now)
}

// note takes in a report.
func (k *book) note(now time.Time, request string, e Event, engine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch e {
	case Prefilled:
		k.b.Prefilled(now, request)
	case PrefillFailed:
		k.b.PrefillFailed(now, request, engine, tlplace.Unresponsive)
	case PrefillBroke:
		k.b.PrefillFailed(now, request, engine, tlplace.ConnectionBroke)
	case Begun:
		k.b.Begun(request)
	case Served:
		k.b.Served(now, request)
	case Failed:
		k.b.Failed(now, request, engine, tlplace.Unresponsive)
	case Broke:
		k.b.Failed(now, request, engine, tlplace.ConnectionBroke)
	case Muted:
		k.b.Muted(engine)
	case Stalled:
		k.b.Stalled(now, request)
	case Full:
		k.b.Full(now, request, engine)
	case Ended:
		k.b.Ended(now, request)
	}
	k.decide(now)
}

func (k *book) adopt(now time.Time, list []tlplace.Booking) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range list {
		k.b.Adopt(now, p)
	}
}

func (k *book) held(o tlplace.Owner) []tlplace.Booking {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.HeldBy(o)
}

// moved notes the home of the service and returns the one before, and whether that is another.
func (k *book) moved(home string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.home
	k.home = home
	return before, before != home
}

// dropOwners frees what instances have here that are gone, or that ask another
// home now; one that asks here again is taken in anew.
func (k *book) dropOwners(now time.Time, gone func(tlplace.Owner) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.DropOwner(now, gone)
	for id, w := range k.waiters {
		if gone(w.owner) {
			delete(k.waiters, id)
		}
	}
}

func (k *book) sums(now time.Time) tlplace.Sums {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.Sums(now)
}

func (k *book) roles(now time.Time) tlrole.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.Roles(now)
}

func (k *book) away(id string, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.Away(id, until)
}

func (k *book) reported(now time.Time, engine string, held int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.Reported(now, engine, held)
}
