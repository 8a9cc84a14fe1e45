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

// claim decides what an instance may do with a key; resolve bounds the wait for
// the log, and ctx the wait for another claim of the key.
func (s *Stream) claim(ctx context.Context, c tlwire.Claim, resolve time.Duration) tlwire.ClaimAnswer {
	if tlclaim.IsAhead(c.Key, s.now()) {
		return refusal(tlverdict.New(tlverdict.KeyAhead, "the key's time lies ahead of ours"))
	}
	if !s.waitReady(ctx, resolve) {
		return refusal(tlverdict.New(tlverdict.LogBehind, "the log is still being read").WithRetryAfter(retryAfter))
	}
	waited := false
	for {
		v := s.look(c)
		if !v.covered {
			return s.uncovered(c, v)
		}
		switch v.decision {
		case tlclaim.Append:
			if a, ok := s.try(ctx, c, resolve); !ok {
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
			return s.final(ctx, v)
		}
	}
}

func (s *Stream) waitReady(ctx context.Context, resolve time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, resolve)
	defer cancel()
	return wait(ctx, s.ready)
}

// final turns a decision that needs no more waiting into an answer.
func (s *Stream) final(ctx context.Context, v view) tlwire.ClaimAnswer {
	switch v.decision {
	case tlclaim.Send:
		s.log.Count(CountClaimsHeld, 1)
		return tlwire.ClaimAnswer{Kind: tlwire.ClaimAnswerKindHolder}
	case tlclaim.Replay:
		return s.replay(ctx, v)
	case tlclaim.Reused:
		return refusal(tlverdict.New(tlverdict.KeyReused, "the key was used for another request"))
	case tlclaim.GivenUp:
		return refusal(tlverdict.New(tlverdict.LogUnavailable, "the claim was given up").WithRetryAfter(retryAfter))
	}
	return refusal(tlverdict.New(tlverdict.ClaimHeld, "the call was sent and its answer was lost"))
}

func (s *Stream) replay(ctx context.Context, v view) tlwire.ClaimAnswer {
	a, err := s.answer(ctx, v.entry.Outcome)
	if err != nil {
		return refusal(tlverdict.New(tlverdict.ClaimHeld, "the call ran; its answer can't be read now: %v", err).WithRetryAfter(retryAfter))
	}
	s.log.Count(CountClaimsReplayed, 1)
	return tlwire.ClaimAnswer{Kind: tlwire.ClaimAnswerKindReplay, Answer: &a}
}

// uncovered refuses a key whose earlier claims may be gone from the log.
func (s *Stream) uncovered(c tlwire.Claim, v view) tlwire.ClaimAnswer {
	if v.decision == tlclaim.Send {
		a := refusal(tlverdict.New(tlverdict.KeyTooOld, "the log dropped records while the claim was on its way"))
		a.IsUnresolved = true
		return a
	}
	if _, timed := tlclaim.KeyTime(c.Key); !timed {
		return refusal(tlverdict.New(tlverdict.KeyTooOld,
			"keys without a time may have left the log, so a key must be a UUIDv7"))
	}
	return refusal(tlverdict.New(tlverdict.KeyTooOld, "the key is older than what the log still keeps"))
}

// try appends the claim and waits until it is folded; false means that it ended with the answer.
func (s *Stream) try(ctx context.Context, c tlwire.Claim, resolve time.Duration) (tlwire.ClaimAnswer, bool) {
	if !s.appender.MayTry() {
		return refusal(tlverdict.New(tlverdict.LogUnavailable, "the log is out").WithRetryAfter(retryAfter)), false
	}
	data, err := tlrecord.Encode(c)
	if err != nil {
		return refusal(tlverdict.New(tlverdict.BadBody, "%v", err)), false
	}
	ctx, cancel := context.WithTimeout(ctx, resolve)
	defer cancel()
	folded := s.expect(c.Nonce)
	defer s.forget(c.Nonce)
	_, err = s.appender.Append(ctx, data)
	var no *tlplatform.NotAppendedError
	if errors.As(err, &no) {
		return refusal(tlverdict.New(tlverdict.LogUnavailable, "%v", err).WithRetryAfter(retryAfter)), false
	}
	if !wait(ctx, folded) {
		s.log.Count(CountClaimsUnresolved, 1)
		a := refusal(tlverdict.New(tlverdict.LogUnavailable, "the claim can't be found in the log").WithRetryAfter(retryAfter))
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

// wait says whether the channel was closed before ctx ended.
func wait(ctx context.Context, c <-chan struct{}) bool {
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
