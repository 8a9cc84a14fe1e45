package tlledger

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlplatform"
)

const retryAfter = 2 * time.Second

// claim decides a claim; resolve limits the wait for the log, and ctx the wait for
// another claim of the same key.
func (s *Stream) claim(ctx context.Context, c tlwire.Claim, resolve time.Duration) tlwire.ClaimAnswer {
	if tlclaim.IsAhead(c.Key, s.now()) {
		return refusal(tlverdict.New(tlverdict.KeyAhead, "the key's timestamp is ahead of the instance's clock"))
	}
	if !s.waitReady(ctx, resolve) {
		return refusal(tlverdict.New(tlverdict.LogBehind, "the log is still being read").WithRetryAfter(retryAfter))
	}
	waited := false
	for {
		v := s.snapshot(c)
		if !v.covered {
			return s.refuseUncovered(c, v)
		}
		switch v.decision {
		case tlclaim.Append:
			if a, ok := s.appendClaim(ctx, c, resolve); !ok {
				return a
			}
		case tlclaim.Wait:
			if !waited {
				s.log.Count(CountClaimsWaited, 1)
			}
			waited = true
			if !s.waitForChange(ctx, v) {
				return refusal(tlverdict.New(tlverdict.ClaimHeld, "the call is still running").WithRetryAfter(retryAfter))
			}
		default:
			return s.finalAnswer(ctx, v)
		}
	}
}

func (s *Stream) waitReady(ctx context.Context, resolve time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, resolve)
	defer cancel()
	return waitClosed(ctx, s.ready)
}

// finalAnswer converts a decision that needs no more waiting into an answer.
func (s *Stream) finalAnswer(ctx context.Context, v keySnapshot) tlwire.ClaimAnswer {
	switch v.decision {
	case tlclaim.Send:
		s.log.Count(CountClaimsHeld, 1)
		return tlwire.ClaimAnswer{Kind: tlwire.ClaimAnswerKindHolder}
	case tlclaim.Replay:
		return s.replay(ctx, v)
	case tlclaim.Reused:
		return refusal(tlverdict.New(tlverdict.KeyReused, "the key was used for another request"))
	case tlclaim.AlreadyReleased:
		return refusal(tlverdict.New(tlverdict.LogUnavailable, "the claim was released").WithRetryAfter(retryAfter))
	}
	return refusal(tlverdict.New(tlverdict.ClaimHeld, "the call was sent and its answer was lost"))
}

func (s *Stream) replay(ctx context.Context, v keySnapshot) tlwire.ClaimAnswer {
	a, err := s.storedAnswer(ctx, v.entry.Outcome)
	if err != nil {
		return refusal(tlverdict.New(tlverdict.ClaimHeld, "the call ran; its answer can't be read now: %v", err).WithRetryAfter(retryAfter))
	}
	s.log.Count(CountClaimsReplayed, 1)
	return tlwire.ClaimAnswer{Kind: tlwire.ClaimAnswerKindReplay, Answer: &a}
}

// refuseUncovered refuses a key whose earlier claims may have been dropped from the log.
func (s *Stream) refuseUncovered(c tlwire.Claim, v keySnapshot) tlwire.ClaimAnswer {
	if v.decision == tlclaim.Send {
		a := refusal(tlverdict.New(tlverdict.KeyTooOld, "the log dropped records while the claim was being appended"))
		a.IsUnresolved = true
		return a
	}
	if _, timed := tlclaim.KeyTime(c.Key); !timed {
		return refusal(tlverdict.New(tlverdict.KeyTooOld,
			"claims of keys without a timestamp may have been dropped from the log, so a key must be a UUIDv7"))
	}
	return refusal(tlverdict.New(tlverdict.KeyTooOld, "the key is older than the records that the log retains"))
}

// appendClaim appends the claim and waits until its record has been read back and
// applied; false means that the claim ends with the returned answer.
func (s *Stream) appendClaim(ctx context.Context, c tlwire.Claim, resolve time.Duration) (tlwire.ClaimAnswer, bool) {
	if !s.appender.Allow() {
		return refusal(tlverdict.New(tlverdict.LogUnavailable, "the log is out").WithRetryAfter(retryAfter)), false
	}
	data, err := tlrecord.Encode(c)
	if err != nil {
		return refusal(tlverdict.New(tlverdict.BadBody, "%v", err)), false
	}
	ctx, cancel := context.WithTimeout(ctx, resolve)
	defer cancel()
	applied := s.awaitClaim(c.Nonce)
	defer s.cancelAwait(c.Nonce)
	_, err = s.appender.Append(ctx, data)
	var no *tlplatform.NotAppendedError
	if errors.As(err, &no) {
		return refusal(tlverdict.New(tlverdict.LogUnavailable, "%v", err).WithRetryAfter(retryAfter)), false
	}
	if !waitClosed(ctx, applied) {
		s.log.Count(CountClaimsUnresolved, 1)
		a := refusal(tlverdict.New(tlverdict.LogUnavailable, "the claim was not found in the log before the timeout").WithRetryAfter(retryAfter))
		a.IsUnresolved = true
		return a, false
	}
	if err != nil {
		s.log.Count(CountResolved, 1)
	}
	return tlwire.ClaimAnswer{}, true
}

func refusal(e *tlverdict.Error) tlwire.ClaimAnswer {
	return tlwire.ClaimAnswer{
		Kind:       tlwire.ClaimAnswerKindRefused,
		Reason:     string(e.Reason),
		Message:    e.Message,
		RetryAfter: e.RetryAfter,
	}
}

// waitClosed reports whether the channel was closed before ctx ended.
func waitClosed(ctx context.Context, c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
	}
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}
