package trefoillanding

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlconfigure"
	"trefoillanding/io/tlentry"
	"trefoillanding/io/tlledger"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlplain"
	"trefoillanding/io/tlplatform"
)

// The kinds of peer messages about claims.
const (
	kindClaim = "Claim"
	kindNote  = "ClaimNote"
)

const (
	// claimResolveTimeout bounds the wait for a claim to be appended to the log and read back.
	claimResolveTimeout = 5 * time.Second
	// claimDefaultTimeout bounds a claim for a call that has no deadline.
	claimDefaultTimeout = 10 * time.Second
	// claimStreamIdleTimeout is how long the home keeps a claim stream's state up to
	// date after its last use.
	claimStreamIdleTimeout = 10 * time.Minute
	// noteTimeout bounds one message that reports the end of a claim.
	noteTimeout = 6 * time.Second
)

func (i *Instance) configureOptions() tlconfigure.Options {
	return tlconfigure.Options{
		Name:       i.settings.Name,
		DataCentre: i.settings.DataCentre,
		Log:        tlconfigure.PlatformLog(i.platform),
		Mesh:       i.mesh,
		Gossip:     i.gossip,
		Timing:     tlconfigure.DefaultTiming(),
		OnChange:   i.activateConfig,
		Now:        time.Now,
		Logger:     i.log,
		Add:        i.metrics.Group("Configuration", tlconfigure.CounterNames...).Add,
	}
}

func oldestOffset(err error) (uint64, bool) {
	var r *tlplatform.RetentionError
	if errors.As(err, &r) {
		return r.Oldest, true
	}
	return 0, false
}

func (i *Instance) claimOptions() tlledger.HomeOptions {
	p := i.settings.Platform
	return tlledger.HomeOptions{
		Log: tlledger.Log{
			Append: i.platform.Append,
			Read:   i.platform.Read,
			Count:  i.metrics.Group("Claims", tlledger.CounterNames...).Add,
		},
		Streams:          p.ClaimStreams,
		AppendsPerSecond: p.AppendsPerSecond,
		BatchDelay:       p.BatchDelay,
		ResolveTimeout:   claimResolveTimeout,
		IdleTimeout:      claimStreamIdleTimeout,
		Owns:             func(n int) bool { return i.gossip.Home(tlledger.StreamName(n), "") == i.settings.Name },
		Now:              time.Now,
	}
}

func (i *Instance) ledgerOptions() tlledger.LedgerOptions {
	return tlledger.LedgerOptions{
		Streams:        i.settings.Platform.ClaimStreams,
		Instance:       i.settings.Name,
		Incarnation:    i.incarnation,
		DefaultTimeout: claimDefaultTimeout,
		HomeOf:         func(stream int) string { return i.gossip.Home(tlledger.StreamName(stream), "") },
		Claim:          i.claimAt,
		Note:           i.noteAt,
		Nonce:          rand.Uint64,
		Count:          i.metrics.Group("Claims").Add,
	}
}

func (i *Instance) handleClaims() {
	tlpeer.Handle(i.mesh, kindClaim, func(ctx context.Context, _ tlpeer.Peer, c tlwire.ClaimCall) (tlwire.ClaimAnswer, error) {
		return i.claims.Claim(ctx, c), nil
	})
	tlpeer.Handle(i.mesh, kindNote, func(ctx context.Context, _ tlpeer.Peer, n tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error) {
		return i.claims.Note(ctx, n)
	})
}

func (i *Instance) claimAt(ctx context.Context, home string, c tlwire.ClaimCall) (tlwire.ClaimAnswer, error) {
	if home == i.settings.Name {
		return i.claims.Claim(ctx, c), nil
	}
	ctx, stop := context.WithTimeout(ctx, c.Wait+peerTimeout)
	defer stop()
	return tlpeer.Call[tlwire.ClaimCall, tlwire.ClaimAnswer](ctx, i.mesh, home, kindClaim, c)
}

func (i *Instance) noteAt(ctx context.Context, home string, n tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error) {
	if home == i.settings.Name {
		return i.claims.Note(ctx, n)
	}
	ctx, stop := context.WithTimeout(ctx, noteTimeout)
	defer stop()
	return tlpeer.Call[tlwire.ClaimNote, tlwire.ClaimNoteAnswer](ctx, i.mesh, home, kindNote, n)
}

func (i *Instance) plainOptions() tlplain.Options {
	return tlplain.Options{
		DataCentre: i.settings.DataCentre,
		Leaving:    i.leaving,
		Ledger: tlplain.Ledger{
			Claim:   i.ledger.Claim,
			Outcome: i.ledger.RecordOutcome,
			Release: i.ledger.Release,
		},
		Now:   time.Now,
		Count: i.metrics.Group("Plain", tlplain.CounterNames...).Count,
	}
}

func (i *Instance) callPlain(ctx context.Context, s tlwire.Service, c tlentry.PlainCall) (tlentry.PlainAnswer, error) {
	a, err := i.plainCaller.Do(ctx, s, tlplain.Call(c))
	return tlentry.PlainAnswer(a), err
}
