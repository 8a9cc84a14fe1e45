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
	maxNotes     = 10_000
	noteLifetime = 10 * time.Minute
)

// LedgerOptions sets up a Ledger.
type LedgerOptions struct {
	// Streams is the number of streams that claims are spread over.
	Streams int
	// Instance and Incarnation are written into each claim.
	Instance    string
	Incarnation uint64
	// DefaultTimeout bounds a claim whose context has no deadline.
	DefaultTimeout time.Duration
	// HomeOf returns the instance that folds a stream; empty when there is none.
	HomeOf func(stream int) string
	// Claim asks a home for a decision.
	Claim func(ctx context.Context, home string, c tlwire.ClaimCall) (tlwire.ClaimAnswer, error)
	// Note tells a home of the end of a claim; a nil error means that it is in the log.
	Note func(ctx context.Context, home string, n tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error)
	// Nonce returns a number that is never used twice.
	Nonce func() uint64
	// Count raises a counter.
	Count func(name string, n int64)
}

// Ledger is what an instance asks before it sends a call that must not repeat.
type Ledger struct {
	options LedgerOptions
	ctx     context.Context
	stop    context.CancelFunc
	notes   sync.WaitGroup
	slots   chan struct{}
	done    chan struct{}
}

// Claimed says what to do with a call: send it, or repeat the stored answer.
type Claimed struct {
	// Answer is the stored answer; nil means that the call is to be sent, once.
	Answer *tlwire.StoredAnswer
	claim  tlwire.Claim
}

// NewLedger returns a ledger that hands claims to their homes.
func NewLedger(o LedgerOptions) *Ledger {
	ctx, stop := context.WithCancel(context.Background())
	return &Ledger{
		options: o,
		ctx:     ctx,
		stop:    stop,
		slots:   make(chan struct{}, maxNotes),
		done:    make(chan struct{}),
	}
}

// Claim asks for the sole right to send the call of a key; an error is a
// *tlverdict.Error and means that this instance never sends it on this claim.
func (l *Ledger) Claim(ctx context.Context, service, key string, d tlclaim.Digest) (Claimed, error) {
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
		return Claimed{claim: c}, tlverdict.New(tlverdict.NoHome, "no instance folds the key's stream").WithRetryAfter(retryAfter)
	}
	a, err := l.options.Claim(ctx, home, tlwire.ClaimCall{Claim: c, Wait: l.wait(ctx)})
	if err != nil {
		l.options.Count(CountHomeFailed, 1)
		l.release(c)
		return Claimed{claim: c}, tlverdict.New(tlverdict.NoHome, "%s did not decide: %v", home, err).WithRetryAfter(retryAfter)
	}
	if a.IsUnresolved {
		l.release(c)
	}
	return l.decided(ctx, c, a)
}

func (l *Ledger) decided(ctx context.Context, c tlwire.Claim, a tlwire.ClaimAnswer) (Claimed, error) {
	switch {
	case a.Kind == tlwire.ClaimAnswerKindHolder && ctx.Err() != nil:
		l.release(c)
		return Claimed{claim: c}, tlverdict.New(tlverdict.CallerGone, "the caller left before its call was sent")
	case a.Kind == tlwire.ClaimAnswerKindHolder:
		return Claimed{claim: c}, nil
	case a.Kind == tlwire.ClaimAnswerKindReplay && a.Answer != nil:
		return Claimed{Answer: a.Answer, claim: c}, nil
	}
	return Claimed{claim: c}, tlverdict.New(tlverdict.Reason(a.Reason), "%s", a.Message).WithRetryAfter(a.RetryAfter)
}

func (l *Ledger) wait(ctx context.Context) time.Duration {
	if t, ok := ctx.Deadline(); ok {
		return time.Until(t) * 9 / 10
	}
	return l.options.DefaultTimeout
}

// Outcome keeps the answer to a call that was sent; nil says that none came.
func (l *Ledger) Outcome(c Claimed, a *tlwire.StoredAnswer) {
	l.note(tlwire.ClaimNote{Outcome: &tlwire.Outcome{
		Service:   c.claim.Service,
		Key:       c.claim.Key,
		Nonce:     c.claim.Nonce,
		IsUnknown: a == nil,
		Answer:    a,
	}})
}

// Release gives up a claim whose call was not sent and never will be.
func (l *Ledger) Release(c Claimed) {
	l.release(c.claim)
}

// Close waits for the notes on their way until ctx ends, and stops.
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

// Done is closed when the ledger has ended.
func (l *Ledger) Done() <-chan struct{} {
	return l.done
}

func (l *Ledger) release(c tlwire.Claim) {
	l.note(tlwire.ClaimNote{Release: &tlwire.Release{Service: c.Service, Key: c.Key, Nonce: c.Nonce}})
}

// note sends the end of a claim in the background until a home has it in the log.
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
	ctx, cancel := context.WithTimeout(l.ctx, noteLifetime)
	defer cancel()
	id, _ := idOf(n)
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
