package tlplain

import (
	"context"
	"errors"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlledger"
)

// once sends a call that must not repeat, under a claim of its key.
func (c *Caller) once(ctx context.Context, s tlwire.Service, call Call) (Answer, error) {
	key := call.Header.Get(keyHeader)
	if key == "" {
		return Answer{}, tlverdict.New(tlverdict.MissingKey, "a call that must not repeat needs an %s header", keyHeader)
	}
	if !isKey(key) {
		return Answer{}, tlverdict.New(tlverdict.BadHeader, "the %s must be 1 to %d printable ASCII characters", keyHeader, maxKeyBytes)
	}
	claimed, err := c.options.Ledger.Claim(ctx, s.Name, key, digest(call))
	if err != nil {
		return Answer{}, err
	}
	if claimed.Answer != nil {
		c.options.Count(CountReplayed)
		return replayed(*claimed.Answer)
	}
	return c.sendOnce(ctx, s, call, claimed)
}

func digest(c Call) tlclaim.Digest {
	return tlclaim.NewDigest([]byte(c.Method), []byte(c.Path), []byte(c.Query), c.Body)
}

// sendOnce goes from endpoint to endpoint until one may have read the call. Once
// it is sent, it goes on without its caller, so that the answer is kept.
func (c *Caller) sendOnce(ctx context.Context, s tlwire.Service, call Call, claimed tlledger.ClaimResult) (Answer, error) {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout(s))
	defer cancel()
	for _, e := range c.board.rank(c.options.Now(), s.Endpoints) {
		if ctx.Err() != nil || detached.Err() != nil {
			c.options.Count(CountCallerGone)
			c.options.Ledger.Release(claimed)
			return Answer{}, tlverdict.New(tlverdict.CallerGone, "the caller left before its call was sent")
		}
		r := c.exchange(detached, c.fresh, e, call)
		if r.isUnsent || r.isDraining() {
			c.options.Count(retryReason(r))
			continue
		}
		return c.finish(s, claimed, r)
	}
	c.options.Ledger.Release(claimed)
	return Answer{}, noEndpoint(s)
}

// finish keeps what became of a call that an endpoint may have read.
func (c *Caller) finish(s tlwire.Service, claimed tlledger.ClaimResult, r sent) (Answer, error) {
	if errors.Is(r.err, errAnswerTooLarge) {
		c.options.Count(CountAnswersTooLarge)
		kept := stored(r.answer, 0)
		c.options.Ledger.Outcome(claimed, &kept)
		return replayed(kept)
	}
	if r.err != nil {
		c.options.Ledger.Outcome(claimed, nil)
		return Answer{}, failed(r)
	}
	kept := stored(r.answer, answerBytes(s))
	if kept.IsOmitted {
		c.options.Count(CountAnswersOmitted)
	}
	c.options.Ledger.Outcome(claimed, &kept)
	r.answer.Header.Set(verdictHeader, string(tlwire.VerdictRan))
	return r.answer, nil
}

// stored returns what is kept of an answer whose body may have at most n bytes.
func stored(a Answer, n int) tlwire.StoredAnswer {
	k := tlwire.StoredAnswer{
		Status:    a.Status,
		Header:    fields(a.Header),
		BodyBytes: int64(len(a.Body)),
	}
	if len(a.Body) > n {
		k.IsOmitted = true
		return k
	}
	k.Body = a.Body
	return k
}

// replayed returns a kept answer as the endpoint gave it.
func replayed(k tlwire.StoredAnswer) (Answer, error) {
	if k.IsOmitted {
		return Answer{}, tlverdict.New(tlverdict.AnswerNotKept,
			"the call ran and was answered with status %d; the answer of %d bytes is not kept", k.Status, k.BodyBytes)
	}
	h := headerOf(k.Header)
	h.Set(verdictHeader, string(tlwire.VerdictRan))
	h.Set(replayedHeader, "true")
	return Answer{Status: k.Status, Header: h, Body: k.Body}, nil
}
