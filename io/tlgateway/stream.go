package tlgateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlevent"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlmemory"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlsend"
)

const (
	// readBufferBytes is the size of the buffer that a stream is read with.
	readBufferBytes = 4 << 10
	// maxEventBytes bounds an event: more bytes without the end of one are no answer.
	maxEventBytes = 1 << 20
	// stallThreshold is the pause between events above which the network path is
	// suspected: TCP retransmits a lost packet after 200 ms at the earliest.
	stallThreshold = 200 * time.Millisecond
	// endCheckTimeout bounds the check whether an endpoint ended together with its answer.
	endCheckTimeout = 600 * time.Millisecond
)

// cancelOnClose is an answer's body that cancels its request when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	stop context.CancelFunc
}

// Close closes the body and cancels its request.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.stop()
	return err
}

var (
	errTruncatedEvent = errors.New("the stream ended within an event")
	errNoEvent        = errors.New("the stream ended without an event")
	errEngineEnded    = errors.New("the answer ended with its endpoint")
	errUnframed       = errors.New("the forwarded answer ended with its connection")
	errNotEvents      = errors.New("the answer has something else than the stream's next events")
	errEventTooLarge  = errors.New("the stream has an event without end")
	errNoMemory       = errors.New("there is no memory for an event of the stream")
	errMoved          = errors.New("the stream was moved to another engine")
)

// forwardEvents sends a stream's events to the caller as they arrive; its results are those of attempt.
func (g *generation) forwardEvents(p placement, r *tlsend.Reply) (bool, *tlverdict.Error) {
	x := g.x
	g.possibleRuns++
	g.sourceExpiry = time.Time{}
	began := x.g.deps.Now()
	if g.hasSentHeader {
		x.g.deps.Count(Resumed)
	}
	err := g.copyEvents(p, r)
	_ = r.Body.Close()
	successor := g.takeSuccessor()
	if err == nil {
		if successor != nil {
			successor.discard()
		}
		g.sendHeader(r)
		g.releaseServed()
		if !p.isForwarded {
			x.observe(p.decode.ID, tlhealth.Answered, x.g.deps.Now().Sub(began))
		}
		x.g.deps.Count(Answered)
		x.step("answered", logrus.Fields{
			"Status": r.Status,
			"Last":   g.lastEventID,
			"TookMs": x.g.deps.Now().Sub(x.arrived).Milliseconds(),
			"Sends":  x.sends,
		})
		return true, nil
	}
	if x.isCallerGone() {
		return false, g.finalError(nil)
	}
	if successor != nil {
		g.moveTo(successor, p, began)
		return false, nil
	}
	if errors.Is(err, errNotEvents) {
		x.g.deps.Count(NotEvents)
	}
	x.step("stream broke", logrus.Fields{"Endpoint": p.decode.ID, "Last": g.lastEventID, "Cause": err.Error()})
	if p.isForwarded {
		return false, g.forwardFailed(err)
	}
	x.checkCut(g.ctx, tlhealth.Broken)
	x.observe(p.decode.ID, tlhealth.Broken, 0)
	if !g.hasBegun && g.isEngineCrash(err) {
		x.reportBreak(p.decode)
	}
	g.abandonEngine(p.decode.ID, tlbooking.DecodeConnectionBroke)
	return false, g.attemptFailed(p, err)
}

// sendHeader sends the answer's header once. It goes with the first event, so that an
// engine that fails before can still be replaced, or its failure be answered.
func (g *generation) sendHeader(r *tlsend.Reply) {
	if g.hasSentHeader {
		return
	}
	g.hasSentHeader = true
	g.x.copyHeader(r)
	g.x.markForwarded(g.version)
	g.x.w.Header().Del("Content-Length")
	g.x.w.WriteHeader(r.Status)
}

// copyEvents copies whole events until the stream ends. It fails if the stream ends
// within one, or in a way that doesn't show that it is whole.
func (g *generation) copyEvents(p placement, r *tlsend.Reply) error {
	if g.lastEventID != "" && !hasEvents(r) {
		return errNotEvents
	}
	s := tlevent.After(g.lastEventID)
	c := http.NewResponseController(g.x.w)
	g.relocation.await(streamIdleTimeout, g.possibleRuns)
	b := make([]byte, readBufferBytes)
	last := g.x.g.deps.Now()
	g.speed = g.newSpeed(p)
	held := int64(readBufferBytes)
	for {
		n, err := r.Body.Read(b)
		events := s.Add(b[:n])
		if len(events) > 0 {
			if !g.relocation.progress() {
				return errMoved
			}
			now := g.x.g.deps.Now()
			if !g.hasBegun {
				g.noteOrigin(p.decode)
				g.noteFirstEvent(p)
			} else if now.Sub(last) > stallThreshold {
				g.noteStall(p, now.Sub(last))
			}
			last = now
			g.speed.add(now, s.Count())
			g.sendHeader(r)
			if err := g.write(c, events, s.LastID()); err != nil {
				return err
			}
			g.speed.written(g.x.g.deps.Now().Sub(now))
			g.relocation.await(streamIdleTimeout, g.possibleRuns)
		}
		if s.IsMalformed() {
			return errNotEvents
		}
		if s.Pending() > maxEventBytes {
			return errEventTooLarge
		}
		// The buffer of an incomplete event has up to twice its bytes.
		if need := 2 * int64(s.Pending()); need > held {
			if !g.x.holding.add(tlmemory.Event, need-held) {
				return errNoMemory
			}
			held = need
		}
		if errors.Is(err, io.EOF) && !s.IsEmpty() {
			return errTruncatedEvent
		}
		if errors.Is(err, io.EOF) {
			return g.checkEnd(p, r)
		}
		if err != nil {
			return err
		}
	}
}

// hasEvents reports whether an answer may have the events that follow others.
func hasEvents(r *tlsend.Reply) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	isOther := err == nil && kind != "text/event-stream"
	return r.Status == http.StatusOK && !isOther
}

// checkEnd returns why a stream that ended between events may not be whole. A length or
// chunks show that it is. The end of a connection shows nothing before the first event of a
// run, while the prompt is read, and after it only if the engine hasn't ended too.
func (g *generation) checkEnd(p placement, r *tlsend.Reply) error {
	switch {
	case p.isForwarded:
		return checkForwarded(g.ctx, r)
	case r.EndsWithConnection && !g.hasBegun:
		return errNoEvent
	}
	return g.x.checkEndpoint(p.decode)(g.ctx, r)
}

func (g *generation) write(c *http.ResponseController, events []byte, last string) error {
	if _, err := g.x.w.Write(events); err != nil {
		return err
	}
	if last != "" {
		g.lastEventID = last
	}
	return c.Flush()
}

// noteStall counts and reports the first stall of a generation.
func (g *generation) noteStall(p placement, pause time.Duration) {
	if g.hasStalled {
		return
	}
	g.hasStalled = true
	g.x.g.deps.Count(Stalled)
	g.x.step("stream stalled", logrus.Fields{"Endpoint": p.decode.ID, "PauseMs": pause.Milliseconds(), "After": g.lastEventID})
	if g.hasReservation {
		g.report(tlbooking.Stalled, p.decode.ID)
	}
}

// noteFirstEvent records the time to an engine's first event; an event after the objective marks the trace as failed.
func (g *generation) noteFirstEvent(p placement) {
	x := g.x
	g.hasBegun = true
	took := x.g.deps.Now().Sub(x.arrived)
	x.g.deps.ObserveLatency(x.route.Kind, took)
	x.step("first event", logrus.Fields{"Endpoint": p.decode.ID, "TookMs": took.Milliseconds()})
	if took > x.route.Objective {
		x.failed = true
	}
	if g.hasReservation && !p.isSplit {
		g.report(tlbooking.PrefilledAtDecode, p.decode.ID)
	}
}
