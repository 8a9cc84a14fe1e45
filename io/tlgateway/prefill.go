package tlgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlsend"
)

const (
	// prefillLeast is the shortest wait for a prefill: above a queue of one prompt and a retransmission's beginning.
	prefillLeast = 550 * time.Millisecond
	// prefillPerToken is added for each token: several times what a sound engine takes.
	prefillPerToken = 90 * time.Microsecond
	// prefillBytes bounds the answer to a prefill.
	prefillBytes = 64 << 10
	// handleMargin is kept of the life of a read prompt for the way to the next engine.
	handleMargin = 100 * time.Millisecond
	// releaseWithin bounds the call that frees a handle.
	releaseWithin = time.Second
)

var errPrefillStatus = errors.New("the engine did not read the prompt")

// prefill has the prompt read, and returns where it is; an empty source leaves
// the reading to the decode engine, which needs no second prefill call and so
// costs no attempt.
func (g *generation) prefill(p place) (tlcall.Source, *tlverdict.Error) {
	x := g.x
	if p.usesRead {
		s := g.source
		g.source, g.keptUntil = tlcall.Source{}, time.Time{}
		return s, nil
	}
	if !p.isSplit {
		if g.hasPlace {
			x.g.d.Count(PrefilledAtDecode)
		}
		return tlcall.Source{}, nil
	}
	began := x.g.d.Now()
	handle, err := g.readPrompt(p)
	took := x.g.d.Now().Sub(began)
	if err == nil {
		x.step("prefilled", logrus.Fields{"Endpoint": p.prefill.ID, "TookMs": took.Milliseconds()})
		g.report(tlbooking.Prefilled, p.prefill.ID)
		return g.checkSource(p, handle)
	}
	g.report(prefillEvent(err), p.prefill.ID)
	if g.ctx.Err() != nil {
		return tlcall.Source{}, g.ended(tlverdict.New(tlverdict.WaitTooLong, "the prompt was not read in time").WithRetryAfter(fullRetryAfter))
	}
	x.g.d.Directory.Observe(x.g.d.Now(), p.prefill.ID, prefillOutcome(err), took)
	x.step("prefill failed", logrus.Fields{"Endpoint": p.prefill.ID, "TookMs": took.Milliseconds(), "Cause": err.Error()})
	x.g.d.Count(PrefilledAtDecode)
	return tlcall.Source{}, g.spend()
}

// checkSource frees the handle of a prompt whose decode engine has left meanwhile.
func (g *generation) checkSource(p place, handle string) (tlcall.Source, *tlverdict.Error) {
	s := tlcall.Source{Address: p.prefill.Address, Handle: handle}
	g.source, g.keptUntil = s, g.x.g.d.Now().Add(g.x.service.Engine.HandleLifetime-handleMargin)
	if g.ctx.Err() == nil {
		return s, nil
	}
	go g.x.g.release(p, handle)
	return tlcall.Source{}, g.ended(tlverdict.New(tlverdict.WaitTooLong, "the prompt was not read in time").WithRetryAfter(fullRetryAfter))
}

// prefillEvent tells an engine that broke a connection or refused from one that was silent.
func prefillEvent(err error) tlbooking.Event {
	switch prefillOutcome(err) {
	case tlhealth.Broken, tlhealth.Refused:
		return tlbooking.PrefillConnectionBroke
	}
	return tlbooking.PrefillFailed
}

func prefillOutcome(err error) tlhealth.Outcome {
	var f *tlsend.Error
	if errors.As(err, &f) && f.Outcome != tlhealth.CallerGone {
		return f.Outcome
	}
	if errors.Is(err, errPrefillStatus) {
		return tlhealth.Refused
	}
	return tlhealth.TimedOut
}

// readPrompt has the prefill engine read the prompt and returns the handle.
func (g *generation) readPrompt(p place) (string, error) {
	x := g.x
	bound := max(prefillLeast, time.Duration(x.call.PromptTokens)*prefillPerToken)
	ctx, stop := context.WithTimeout(g.ctx, bound)
	defer stop()
	x.sends++
	x.step("sent to prefill", logrus.Fields{"Endpoint": p.prefill.ID, "BoundMs": bound.Milliseconds()})
	r, err := x.g.d.Sender.Send(ctx, p.prefill, x.request, tlcall.Send{
		TimeLeft:    x.leftToSay(),
		Stage:       tlcall.Prefill,
		ResumeAfter: g.last,
	})
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	if r.Status != http.StatusOK {
		return "", errPrefillStatus
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, prefillBytes))
	if err != nil {
		return "", err
	}
	return x.g.d.Wire.DecodePrefilled(b)
}

// release frees a handle that nobody will take; a failure costs the engine's memory until the handle lapses.
func (g *Gateway) release(p place, handle string) {
	ctx, stop := context.WithTimeout(context.Background(), releaseWithin)
	defer stop()
	method, target := g.d.Wire.ReleaseCall(handle)
	r, err := g.d.Sender.Send(ctx, p.prefill, tlsend.Request{
		Method: method,
		Target: target,
		Host:   p.prefill.Address.String(),
		Header: http.Header{},
	}, tlcall.Send{})
	if err != nil {
		g.d.Count(ReleaseFailed)
		return
	}
	_ = r.Body.Close()
}
