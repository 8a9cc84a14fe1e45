package tlledger

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const (
	maxPendingNotes = 10_000
	noteTimeout     = 10 * time.Minute
)

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	// Streams is the number of log streams that keys are distributed over.
	Streams int
	// Instance and Incarnation are written into each claim.
	Instance    string
	Incarnation uint64
	// DefaultTimeout limits a claim whose context has no deadline.
	DefaultTimeout time.Duration
	// HomeOf returns the instance that is the home of a stream, or "" if there is none.
	HomeOf func(stream int) string
	// Claim sends a claim to a home and returns its decision.
	Claim func(ctx context.Context, home string, c tlwire.ClaimCall) (tlwire.ClaimAnswer, error)
	// Note sends an outcome or a release to a home; it is in the log if the error is
	// nil and the answer has IsAppended.
	Note func(ctx context.Context, home string, n tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error)
	// Nonce returns a number that no other claim uses.
	Nonce func() uint64
	// Count adds n to a counter.
	Count func(name string, n int64)
}

// Ledger claims calls that must run at most once, before they are sent.
type Ledger struct {
	options LedgerOptions
	ctx     context.Context
	stop    context.CancelFunc
	notes   sync.WaitGroup
	slots   chan struct{}
	done    chan struct{}
}

// ClaimResult says whether to send a call or to return the stored answer.
type ClaimResult struct {
	// Answer is the stored answer; nil means that the caller must send the call, once.
	Answer *tlwire.StoredAnswer
	claim  tlwire.Claim
}

// NewLedger returns a ledger that sends claims to their homes.
func NewLedger(o LedgerOptions) *Ledger {
	ctx, stop := context.WithCancel(context.Background())
	return &Ledger{
		options: o,
		ctx:     ctx,
		stop:    stop,
		slots:   make(chan struct{}, maxPendingNotes),
		done:    make(chan struct{}),
	}
}

// Claim requests the exclusive right to send the call with a key; an error is a
// *tlverdict.Error and means that this instance never sends the call on this claim.
func (l *Ledger) Claim(ctx context.Context, service, key string, d tlclaim.Digest) (ClaimResult, error) {
	c := tlwire.Claim{
		Service:     service,
		Key:         key,
		Digest:      d[:],
		Instance:    l.options.Instance,
		Incarnation: l.options.Incarnation,
		Nonce:       l.options.Nonce(),
	}
	home := l.options.HomeOf(tlclaim.NewID(service, key).Stream(l.options.Streams))
	if home == "" {
		return ClaimResult{claim: c}, tlverdict.New(tlverdict.NoHome, "no instance is the home of the key's stream").WithRetryAfter(retryAfter)
	}
	a, err := l.options.Claim(ctx, home, tlwire.ClaimCall{Claim: c, Wait: l.claimTimeout(ctx)})
	if err != nil {
		l.options.Count(CountHomeFailed, 1)
		l.release(c)
		return ClaimResult{claim: c}, tlverdict.New(tlverdict.NoHome, "%s did not decide the claim: %v", home, err).WithRetryAfter(retryAfter)
	}
	if a.IsUnresolved {
		l.release(c)
	}
	return l.decided(ctx, c, a)
}

func (l *Ledger) decided(ctx context.Context, c tlwire.Claim, a tlwire.ClaimAnswer) (ClaimResult, error) {
	switch {
	case a.Kind == tlwire.ClaimAnswerKindHolder && ctx.Err() != nil:
		l.release(c)
		return ClaimResult{claim: c}, tlverdict.New(tlverdict.CallerGone, "the caller left before its call was sent")
	case a.Kind == tlwire.ClaimAnswerKindHolder:
		return ClaimResult{claim: c}, nil
	case a.Kind == tlwire.ClaimAnswerKindReplay && a.Answer != nil:
		return ClaimResult{Answer: a.Answer, claim: c}, nil
	}
	return ClaimResult{claim: c}, tlverdict.New(tlverdict.Reason(a.Reason), "%s", a.Message).WithRetryAfter(a.RetryAfter)
}

func (l *Ledger) claimTimeout(ctx context.Context) time.Duration {
	if t, ok := ctx.Deadline(); ok {
		return time.Until(t) * 9 / 10
	}
	return l.options.DefaultTimeout
}

// RecordOutcome stores the answer to a call that was sent; nil means that no answer came.
func (l *Ledger) RecordOutcome(c ClaimResult, a *tlwire.StoredAnswer) {
	l.note(tlwire.ClaimNote{Outcome: &tlwire.Outcome{
		Service:   c.claim.Service,
		Key:       c.claim.Key,
		Nonce:     c.claim.Nonce,
		IsUnknown: a == nil,
		Answer:    a,
	}})
}

// Release withdraws a claim whose call was not sent and never will be.
func (l *Ledger) Release(c ClaimResult) {
	l.release(c.claim)
}

// Close waits until ctx ends for the notes in flight, and stops the ledger.
func (l *Ledger) Close(ctx context.Context) {
	go func() {
		l.notes.Wait()
		close(l.done)
	}()
	select {
	case <-l.done:
	case <-ctx.Done():
	}
	l.stop()
	<-l.done
}

// Done is closed when the ledger has stopped.
func (l *Ledger) Done() <-chan struct{} {
	return l.done
}

func (l *Ledger) release(c tlwire.Claim) {
	l.note(tlwire.ClaimNote{Release: &tlwire.Release{Service: c.Service, Key: c.Key, Nonce: c.Nonce}})
}

// note sends an outcome or a release in the background and retries until a home has
// appended it to the log.
func (l *Ledger) note(n tlwire.ClaimNote) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.options.Count(CountNotesDropped, 1)
		return
	}
	l.notes.Go(func() {
		defer func() { <-l.slots }()
		l.deliver(n)
	})
}

func (l *Ledger) deliver(n tlwire.ClaimNote) {
	ctx, cancel := context.WithTimeout(l.ctx, noteTimeout)
	defer cancel()
	id, _ := noteID(n)
	stream := id.Stream(l.options.Streams)
	for try := 1; ; try++ {
		if home := l.options.HomeOf(stream); home != "" {
			a, err := l.options.Note(ctx, home, n)
			if err == nil && a.IsAppended {
				return
			}
		}
		if !sleep(ctx, noteBackoff(try)) {
			l.options.Count(CountNotesDropped, 1)
			return
		}
		l.options.Count(CountNotesRetried, 1)
	}
}
