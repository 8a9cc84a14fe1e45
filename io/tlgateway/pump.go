package tlgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlevent"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlsend"
)

const (
	// readBytes is the size of one read of a stream.
	readBytes = 4 << 10
	// stallAfter is the pause between events that speaks against the way: a lost
	// packet is sent again after 200 ms at the earliest.
	stallAfter = 200 * time.Millisecond
	// resumeAfterGap is the silence after which a stream that may be resumed goes on elsewhere.
	resumeAfterGap = 1500 * time.Millisecond
)

// cancelled is a body whose request is cancelled when it is closed.
type cancelled struct {
	io.ReadCloser
	stop context.CancelFunc
}

// Close closes the body and cancels its request.
func (c *cancelled) Close() error {
	err := c.ReadCloser.Close()
	c.stop()
	return err
}

var errTornEvent = errors.New("the stream ended within an event")

// pump hands the events of a stream to the caller as they come; see attempt.
func (g *generation) pump(p place, r *tlsend.Reply) (bool, *tlverdict.Error) {
	x := g.x
	g.ran++
	g.keptUntil = time.Time{}
	began := x.g.d.Now()
	if !g.begun {
		g.begun = true
		x.copyHeader(r)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(r.Status)
	} else {
		x.g.d.Count(Resumed)
	}
	err := g.copyEvents(p, r)
	_ = r.Body.Close()
	if err == nil {
		g.served()
		x.g.d.Directory.Observe(x.g.d.Now(), p.decode.ID, tlhealth.Answered, x.g.d.Now().Sub(began))
		x.g.d.Count(AnsweredPass)
		x.step("answered", logrus.Fields{
			"Status": r.Status,
			"Last":   g.last,
			"TookMs": x.g.d.Now().Sub(x.arrived).Milliseconds(),
			"Sends":  x.sends,
		})
		return true, nil
	}
	if x.isGone() {
		return false, g.ended(nil)
	}
	x.g.d.Directory.Observe(x.g.d.Now(), p.decode.ID, tlhealth.Broken, 0)
	x.step("stream broke", logrus.Fields{"Endpoint": p.decode.ID, "Last": g.last, "Cause": err.Error()})
	g.giveUp(p.decode.ID, tlbooking.Broke)
	return false, g.lost(p, err)
}

// copyEvents copies whole events until the stream ends.
func (g *generation) copyEvents(p place, r *tlsend.Reply) error {
	var s tlevent.Splitter
	c := http.NewResponseController(g.x.w)
	watch := g.watchGap(r)
	defer watch.Stop()
	b := make([]byte, readBytes)
	first := true
	last := g.x.g.d.Now()
	for {
		n, err := r.Body.Read(b)
		whole := s.Add(b[:n])
		if len(whole) > 0 {
			g.resetGap(watch)
			now := g.x.g.d.Now()
			if first {
				first = false
				g.firstEvent(p)
			} else if now.Sub(last) > stallAfter {
				g.stalled(p, now.Sub(last))
			}
			last = now
			if err := g.write(c, whole, s.LastID()); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) && s.IsEmpty() {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errTornEvent
		}
		if err != nil {
			return err
		}
	}
}

func (g *generation) write(c *http.ResponseController, events []byte, last string) error {
	if _, err := g.x.w.Write(events); err != nil {
		return err
	}
	if last != "" {
		g.last = last
	}
	return c.Flush()
}

// stalled notes, once, that events paused on their way.
func (g *generation) stalled(p place, pause time.Duration) {
	if g.hasStalled {
		return
	}
	g.hasStalled = true
	g.x.g.d.Count(Stalled)
	g.x.step("stream stalled", logrus.Fields{"Endpoint": p.decode.ID, "PauseMs": pause.Milliseconds(), "After": g.last})
	if g.hasPlace {
		g.report(tlbooking.Stalled, p.decode.ID)
	}
}

// firstEvent notes that the engine has begun.
func (g *generation) firstEvent(p place) {
	x := g.x
	took := x.g.d.Now().Sub(x.arrived)
	x.g.d.ObserveLatency(x.route.Kind, took)
	x.step("first event", logrus.Fields{"Endpoint": p.decode.ID, "TookMs": took.Milliseconds()})
	if took > x.route.Objective {
		x.failed = true
	}
	if g.hasPlace && !p.isSplit {
		g.report(tlbooking.Begun, p.decode.ID)
	}
}

// watchGap cuts a stream that has been silent for long, where it can go on elsewhere.
func (g *generation) watchGap(r *tlsend.Reply) *time.Timer {
	t := time.AfterFunc(resumeAfterGap, func() { _ = r.Body.Close() })
	if !g.mayResume() || g.ran >= g.x.route.Attempts {
		t.Stop()
	}
	return t
}

func (g *generation) resetGap(t *time.Timer) {
	if g.mayResume() && g.ran < g.x.route.Attempts {
		t.Reset(resumeAfterGap)
	}
}
