package tlbooking

import (
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlrate"
	"trefoillanding/core/tlrole"
)

// reservations holds the reservations of one service and the requests that wait for a decision.
type reservations struct {
	mu      sync.Mutex
	b       *tlplace.Book
	waiters map[string]*waiter
	home    string
	// decidesFrom is when decisions begin: a new home first learns the existing reservations.
	decidesFrom time.Time
	standInTime standInState
}

// waiter holds the pending decision on one request.
type waiter struct {
	owner     tlplace.Owner
	decided   chan tlplace.Decision
	lastAsked time.Time
}

// submit adds a request, or renews one that already waits, and returns the channel of its decision.
func (k *reservations) submit(now time.Time, r tlplace.Request) chan tlplace.Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w := k.waiters[r.ID]; w != nil {
		w.lastAsked = now
		return w.decided
	}
	w := &waiter{owner: r.Owner, decided: make(chan tlplace.Decision, 1), lastAsked: now}
	k.waiters[r.ID] = w
	if now.Before(k.decidesFrom) {
		k.b.Enqueue(now, r)
		return w.decided
	}
	k.deliver(k.b.Submit(now, r))
	return w.decided
}

// decide makes the decisions that are due; k.mu must be held.
func (k *reservations) decide(now time.Time) {
	if now.Before(k.decidesFrom) {
		return
	}
	k.deliver(k.b.Tick(now))
}

// deferDecisionsUntil delays all decisions until t.
func (k *reservations) deferDecisionsUntil(t time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decidesFrom = t
}

// deliver sends decisions to their waiters; k.mu must be held.
func (k *reservations) deliver(list []tlplace.Decision) {
	for _, d := range list {
		if w := k.waiters[d.Request]; w != nil {
			w.decided <- d
		}
	}
}

// removeWaiter removes the waiter of a request whose decision has been received.
func (k *reservations) removeWaiter(request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, request)
}

func (k *reservations) withdraw(now time.Time, request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, request)
	k.b.Withdraw(now, request)
	k.decide(now)
}

// tick withdraws requests whose owner has not asked for longer than abandoned, and makes the decisions that are due.
func (k *reservations) tick(now time.Time, abandoned time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, w := range k.waiters {
		if now.Sub(w.lastAsked) > abandoned {
			delete(k.waiters, id)
			k.b.Withdraw(now, id)
		}
	}
	k.decide(now)
}

func (k *reservations) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiters) == 0 && !k.b.IsWaiting()
}

func (k *reservations) setEngines(now time.Time, list []tlendpoint.Endpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.SetEngines(now, list)
	k.decide(now)
}

// applyEvent applies a reported event to a request's reservation.
func (k *reservations) applyEvent(now time.Time, request string, e Event, engine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch e {
	case Prefilled:
		k.b.Prefilled(now, request, engine)
	case PrefillFailed:
		k.b.PrefillFailed(now, request, engine, tlplace.Unresponsive)
	case PrefillConnectionBroke:
		k.b.PrefillFailed(now, request, engine, tlplace.ConnectionBroke)
	case PrefilledAtDecode:
		k.b.DirectPrefillDone(now, request)
	case Completed:
		k.b.Served(now, request)
	case DecodeFailed:
		k.b.Failed(now, request, engine, tlplace.Unresponsive)
	case DecodeConnectionBroke:
		k.b.Failed(now, request, engine, tlplace.ConnectionBroke)
	case DecodeSilent:
		k.b.EngineSilent(engine)
	case Stalled:
		k.b.Stalled(now, request)
	case DecodeFull:
		k.b.EngineFull(now, request, engine)
	case Ended:
		k.b.Ended(now, request)
	}
	k.decide(now)
}

func (k *reservations) adopt(now time.Time, list []tlplace.Booking) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range list {
		k.b.Adopt(now, p)
	}
}

// follow adds the reservation that a home has just made for a request of this instance.
func (k *reservations) follow(now time.Time, r tlplace.Request, d tlplace.Decision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.Follow(now, r, d)
}

func (k *reservations) rates() tlrate.Rates {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.Rates()
}

func (k *reservations) mergeRates(r tlrate.Rates) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.MergeRates(r)
}

// measure takes in the speed of an answer before the event that ends it.
func (k *reservations) measure(now time.Time, request string, a tlplace.Answer) {
	if a.Tokens <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.Measured(now, request, a)
}

func (k *reservations) paces() []tlplace.EnginePace {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.Paces()
}

func (k *reservations) paceChanges() []tlplace.EnginePace {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.PaceChanges()
}

func (k *reservations) mergePaces(now time.Time, list []tlplace.EnginePace) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.MergePaces(now, list)
}

func (k *reservations) held(o tlplace.Owner) []tlplace.Booking {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.HeldBy(o)
}

// setHome records the home of the service and returns the previous one, and whether they differ.
func (k *reservations) setHome(home string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.home
	k.home = home
	return before, before != home
}

// dropOwners frees the reservations of instances that gone selects: those that
// have ended, or that now ask another home. If such an instance asks here again,
// its request is added as a new one.
func (k *reservations) dropOwners(now time.Time, gone func(tlplace.Owner) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.DropOwner(now, gone)
	for id, w := range k.waiters {
		if gone(w.owner) {
			delete(k.waiters, id)
		}
	}
}

func (k *reservations) sums(now time.Time) tlplace.Totals {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.Totals(now)
}

func (k *reservations) roles(now time.Time) tlrole.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.RoleState(now)
}

func (k *reservations) lacksDecoder(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.LacksDecoder(now)
}

func (k *reservations) markChangingRole(now time.Time, id string, to tlendpoint.Role, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.RoleChanging(now, id, to, until)
}

func (k *reservations) markKeepingRole(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.RoleKept(id)
}

func (k *reservations) recordHeldMemory(now time.Time, engine string, held int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.b.MemoryReported(now, engine, held)
}

func (k *reservations) needsReport(now time.Time, engine string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.NeedsReport(now, engine)
}
