package tlgateway

import (
	"context"
	"errors"
	"fmt"
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
	// minPrefillTimeout is the shortest wait for a prefill: above one queued prompt and the start of a TCP retransmission.
	minPrefillTimeout = 550 * time.Millisecond
	// prefillTimeoutPerToken is the wait for each prompt token: several times what a healthy engine takes.
	prefillTimeoutPerToken = 90 * time.Microsecond
	// maxPrefillAnswerBytes bounds the answer to a prefill.
	maxPrefillAnswerBytes = 64 << 10
	// handleMargin is subtracted from a handle's lifetime, for the send to the next decode engine.
	handleMargin = 100 * time.Millisecond
	// releaseTimeout bounds the call that frees a handle.
	releaseTimeout = time.Second
)

var (
	errPrefillStatus  = errors.New("the prefill engine did not answer with status 200")
	errPrefillGarbled = errors.New("the prefill engine's answer can't be read")
)

// prefill has the prompt read and returns which engine holds its KV cache. An
// empty source leaves the prompt to the decode engine; a failed prefill thus
// needs no second prefill call and costs no attempt.
func (g *generation) prefill(p placement) (tlcall.Source, *tlverdict.Error) {
	x := g.x
	if p.reusesPrefill {
		s := g.source
		g.source, g.sourceExpiry = tlcall.Source{}, time.Time{}
		return s, nil
	}
	if !p.isSplit {
		if g.hasReservation {
			x.g.deps.Count(PrefilledAtDecode)
		}
		return tlcall.Source{}, nil
	}
	began := x.g.deps.Now()
	handle, err := g.readPrompt(p)
	took := x.g.deps.Now().Sub(began)
	if err == nil {
		x.step("prefilled", logrus.Fields{"Endpoint": p.prefill.ID, "TookMs": took.Milliseconds()})
		g.report(tlbooking.Prefilled, p.prefill.ID)
		return g.keepSource(p, handle)
	}
	if g.ctx.Err() != nil {
		// The request has ended, not the engine's time for it: that is no failure of the engine.
		return tlcall.Source{}, g.prefillTooLate()
	}
	isCut := x.checkCut(g.ctx, prefillOutcome(err))
	g.report(prefillEvent(err), p.prefill.ID)
	if isBreak(err) {
		x.reportBreak(p.prefill)
	}
	x.observe(p.prefill.ID, prefillOutcome(err), took)
	x.step("prefill failed", logrus.Fields{"Endpoint": p.prefill.ID, "TookMs": took.Milliseconds(), "Cause": err.Error()})
	if isCut {
		return tlcall.Source{}, nil
	}
	x.g.deps.Count(PrefilledAtDecode)
	return tlcall.Source{}, g.chargeFailedPrefill(err)
}

// chargeFailedPrefill charges the decode engine's prefill in place of one that failed.
// The first prefill is no extra send, so a silent engine must not have the request
// refused where the budget is spent; a prefill that was turned away is one.
func (g *generation) chargeFailedPrefill(err error) *tlverdict.Error {
	var f *tlsend.Error
	if errors.As(err, &f) && f.IsUnsent {
		return nil
	}
	if g.decodeSends > 0 || prefillOutcome(err) != tlhealth.TimedOut {
		return g.chargeSend()
	}
	g.x.g.deps.Budget.Spend(g.x.service.Name, 1)
	return nil
}

// keepSource stores the source of a prefill, and frees its handle if the request has ended meanwhile.
func (g *generation) keepSource(p placement, handle string) (tlcall.Source, *tlverdict.Error) {
	s := tlcall.Source{Address: p.prefill.Address, Handle: handle}
	g.source, g.sourceVersion = s, p.prefill.Version
	g.sourceExpiry = g.x.g.deps.Now().Add(g.x.service.Engine.HandleLifetime - handleMargin)
	if g.ctx.Err() == nil {
		return s, nil
	}
	go g.x.g.release(p, handle)
	return tlcall.Source{}, g.prefillTooLate()
}

// prefillTooLate returns the error of a request that ended before its prompt was read.
func (g *generation) prefillTooLate() *tlverdict.Error {
	return g.finalError(tlverdict.New(tlverdict.WaitTooLong, "the prefill did not finish in time").WithRetryAfter(busyRetryAfter))
}

// prefillEvent distinguishes an engine that broke the connection or refused from one that was silent.
func prefillEvent(err error) tlbooking.Event {
	if errors.Is(err, errPrefillGarbled) {
		return tlbooking.PrefillFailed
	}
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
	if errors.Is(err, errPrefillGarbled) {
		return tlhealth.Broken
	}
	return tlhealth.TimedOut
}

// readPrompt has the prefill engine read the prompt and returns the handle of its KV cache.
func (g *generation) readPrompt(p placement) (string, error) {
	x := g.x
	bound := max(minPrefillTimeout, time.Duration(x.call.PromptTokens)*prefillTimeoutPerToken)
	ctx, stop := context.WithTimeout(g.ctx, bound)
	defer stop()
	x.sends++
	x.step("sent to prefill", logrus.Fields{"Endpoint": p.prefill.ID, "Version": p.prefill.Version, "BoundMs": bound.Milliseconds()})
	r, err := x.g.deps.Sender.Send(ctx, p.prefill, x.request, tlcall.Send{
		TimeLeft:    x.timeLeftForEndpoint(),
		Stage:       tlcall.Prefill,
		ResumeAfter: g.lastEventID,
		IsAdmitted:  true,
	})
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	if r.Status != http.StatusOK {
		return "", errPrefillStatus
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxPrefillAnswerBytes))
	if err != nil {
		return "", err
	}
	handle, err := x.g.deps.Wire.DecodePrefilled(b)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errPrefillGarbled, err)
	}
	return handle, nil
}

// release frees an unused handle; if that fails, the engine's memory stays held until the handle expires.
func (g *Gateway) release(p placement, handle string) {
	ctx, stop := context.WithTimeout(context.Background(), releaseTimeout)
	defer stop()
	method, target := g.deps.Wire.ReleaseCall(handle)
	r, err := g.deps.Sender.Send(ctx, p.prefill, tlsend.Request{
		Method: method,
		Target: target,
		Host:   p.prefill.Address.String(),
		Header: http.Header{},
	}, tlcall.Send{})
	if err != nil {
		g.deps.Count(ReleaseFailed)
		return
	}
	_ = r.Body.Close()
}
