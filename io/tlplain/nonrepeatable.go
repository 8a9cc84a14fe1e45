package tlplain

import (
	"context"
	"errors"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlledger"
)

// doNonRepeatable sends a call that must not run twice, under a claim of its key.
func (c *Caller) doNonRepeatable(ctx context.Context, s tlwire.Service, call Call) (Answer, error) {
	key := call.Header.Get(keyHeader)
	if key == "" {
		return Answer{}, tlverdict.New(tlverdict.MissingKey, "a call that is not repeatable needs an %s header", keyHeader)
	}
	if !isValidKey(key) {
		return Answer{}, tlverdict.New(tlverdict.BadHeader, "the %s must be 1 to %d printable ASCII characters", keyHeader, maxKeyBytes)
	}
	claimed, err := c.options.Ledger.Claim(ctx, s.Name, key, digest(call))
	if err != nil {
		return Answer{}, err
	}
	if claimed.Answer != nil {
		c.options.Count(CountReplayed)
		return replayAnswer(*claimed.Answer)
	}
	return c.sendClaimed(ctx, s, call, claimed)
}

func digest(c Call) tlclaim.Digest {
	return tlclaim.NewDigest([]byte(c.Method), []byte(c.Path), []byte(c.Query), c.Body)
}

// sendClaimed tries one endpoint after another until one may have read the call. It
// goes on when the caller disconnects during a try, so that the answer is stored.
func (c *Caller) sendClaimed(ctx context.Context, s tlwire.Service, call Call, claimed tlledger.ClaimResult) (Answer, error) {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout(s))
	defer cancel()
	for _, e := range c.endpoints.rank(c.options.Now(), s.Endpoints) {
		if ctx.Err() != nil || detached.Err() != nil {
			c.options.Count(CountCallerGone)
			c.options.Ledger.Release(claimed)
			return Answer{}, tlverdict.New(tlverdict.CallerGone, "the caller left before its call was sent")
		}
		r := c.exchange(detached, c.singleUse, e, call)
		if r.isUnsent || r.isDraining() {
			c.options.Count(retryReason(r))
			continue
		}
		return c.recordOutcome(s, claimed, r)
	}
	c.options.Ledger.Release(claimed)
	return Answer{}, noEndpointError(s)
}

// recordOutcome stores the outcome of a call that an endpoint may have read.
func (c *Caller) recordOutcome(s tlwire.Service, claimed tlledger.ClaimResult, r exchangeResult) (Answer, error) {
	if errors.Is(r.err, errAnswerTooLarge) {
		c.options.Count(CountAnswersTooLarge)
		kept := storedAnswer(r.answer, 0)
		c.options.Ledger.Outcome(claimed, &kept)
		return replayAnswer(kept)
	}
	if r.err != nil {
		c.options.Ledger.Outcome(claimed, nil)
		return Answer{}, exchangeError(r)
	}
	kept := storedAnswer(r.answer, maxStoredBytes(s))
	if kept.IsOmitted {
		c.options.Count(CountAnswersOmitted)
	}
	c.options.Ledger.Outcome(claimed, &kept)
	r.answer.Header.Set(verdictHeader, string(tlwire.VerdictRan))
	return r.answer, nil
}

// storedAnswer returns the answer as it is stored; a body of more than n bytes is omitted.
func storedAnswer(a Answer, n int) tlwire.StoredAnswer {
	k := tlwire.StoredAnswer{
		Status:    a.Status,
		Header:    headerFields(a.Header),
		BodyBytes: int64(len(a.Body)),
	}
	if len(a.Body) > n {
		k.IsOmitted = true
		return k
	}
	k.Body = a.Body
	return k
}

// replayAnswer returns a stored answer, or an error if its body was omitted.
func replayAnswer(k tlwire.StoredAnswer) (Answer, error) {
	if k.IsOmitted {
		return Answer{}, tlverdict.New(tlverdict.AnswerNotKept,
			"the call ran and was answered with status %d; the answer of %d bytes is not kept", k.Status, k.BodyBytes)
	}
	h := headerFromFields(k.Header)
	h.Set(verdictHeader, string(tlwire.VerdictRan))
	h.Set(replayedHeader, "true")
	return Answer{Status: k.Status, Header: h, Body: k.Body}, nil
}
