package tlgateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlhealth"
	"trefoillanding/io/tlbooking"
)

const (
	// streamIdleTimeout is the silence after which another engine is sought for a resumable stream.
	streamIdleTimeout = 1500 * time.Millisecond
	// searchReportDelay is the time in a search after which the silent engine is
	// reported; most streams have been moved by then, which is reported as well.
	searchReportDelay = 300 * time.Millisecond
)

var errEngineSilent = errors.New("the engine was silent")

// relocation moves a generation from a silent engine to another one. The silent engine
// is given up only once the other has a place for the request, the retry is charged and
// the prompt read; until then the answer may still come. A nil relocation does nothing.
type relocation struct {
	g    *generation
	from placement
	// giveUp ends the send to the silent engine, or its stream.
	giveUp context.CancelFunc

	// mu guards the fields below, and those of g while isAwaiting is set.
	mu         sync.Mutex
	timer      *time.Timer
	isAwaiting bool
	// isSpent says that a search was charged to the retry budget; there is no other after it.
	isSpent bool
	// hasReported says that the engine's silence was reported.
	hasReported bool
	// possibleRuns counts the sends that may have run the request, the one awaited included.
	possibleRuns int
	// cancelSearch ends the search under way; nil if there is none.
	cancelSearch context.CancelFunc
	// successor continues the generation once the silent engine has been given up.
	successor *generation
	searches  sync.WaitGroup
}

// preparation is where a generation is sent next.
type preparation struct {
	placement placement
	source    tlcall.Source
	// isForwarded says that it goes to another instance instead.
	isForwarded bool
}

// newRelocation returns the relocation of a send, or nil if the request may not be moved.
func (g *generation) newRelocation(from placement, giveUp context.CancelFunc) *relocation {
	if !g.mayRetryAfterSilence() {
		return nil
	}
	return &relocation{g: g, from: from, giveUp: giveUp}
}

// await starts to wait for the engine; after a silence of d another one is sought.
// The generation must not be changed until progress or stop has returned.
func (m *relocation) await(d time.Duration, possibleRuns int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isAwaiting = true
	m.possibleRuns = possibleRuns
	if m.timer == nil {
		m.timer = time.AfterFunc(d, m.search)
		return
	}
	m.timer.Reset(d)
}

// progress ends the wait, since the engine has sent something. It reports whether the
// generation stays with that engine; if not, what it sent must be dropped.
func (m *relocation) progress() bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endWait()
	return m.successor == nil
}

// stop ends the wait and any search, and returns the successor if the generation has been moved.
func (m *relocation) stop() *generation {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	m.endWait()
	m.mu.Unlock()
	m.searches.Wait()
	return m.successor
}

// endWait ends the wait and cancels a search; m.mu must be held.
func (m *relocation) endWait() {
	m.isAwaiting = false
	if m.timer != nil {
		m.timer.Stop()
	}
	if m.cancelSearch != nil {
		m.cancelSearch()
	}
}

// search seeks another engine, and gives the silent one up if there is one and
// nothing has come meanwhile. If there is none, it is repeated after a time.
func (m *relocation) search() {
	s := m.beginSearch()
	if s == nil {
		return
	}
	defer m.searches.Done()
	report := time.AfterFunc(searchReportDelay, m.reportSilence)
	err := errPanicked
	defer func() {
		m.g.x.recovered(recover())
		report.Stop()
		m.endSearch(s, err)
	}()
	err = s.prepareAhead()
}

// beginSearch returns the generation that is to continue at another engine; nil if the
// wait has ended or no other search is due.
func (m *relocation) beginSearch() *generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isAwaiting || m.isSpent || m.g.ctx.Err() != nil || !m.g.mayResume() {
		return nil
	}
	if m.cancelSearch != nil {
		// A cancelled search is still ending.
		m.timer.Reset(streamIdleTimeout)
		return nil
	}
	m.searches.Add(1)
	ctx, cancel := context.WithCancel(m.g.ctx)
	m.cancelSearch = cancel
	s := m.g.newSuccessor(ctx, m.from)
	s.possibleRuns = m.possibleRuns
	return s
}

// endSearch moves the generation to the successor, or drops it if it could not be
// prepared or the wait has ended.
func (m *relocation) endSearch(s *generation, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isWanted := s.ctx.Err() == nil
	m.cancelSearch()
	m.cancelSearch = nil
	m.isSpent = m.isSpent || s.hasCharged
	switch {
	case err == nil && isWanted:
		s.ctx = m.g.ctx
		m.successor = s
		m.isAwaiting = false
		m.giveUp()
		return
	case err == nil:
		s.discard()
	default:
		s.releaseReservation()
	}
	if isWanted {
		m.g.x.step("not moved", logrus.Fields{"Endpoint": m.from.decode.ID, "Cause": err.Error()})
		m.report()
	}
	if m.isAwaiting {
		m.timer.Reset(streamIdleTimeout)
	}
}

// reportSilence reports the engine while its answer is awaited.
func (m *relocation) reportSilence() {
	if m.g.x.checkCut(m.g.ctx, tlhealth.TimedOut) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report()
}

// report tells the service's home instance once that the engine is silent, so that
// other requests avoid it; this one keeps waiting for it. m.mu must be held.
func (m *relocation) report() {
	if m.hasReported || !m.isAwaiting || !m.g.hasReservation || m.g.x.isCut() {
		return
	}
	m.hasReported = true
	m.g.x.g.deps.Count(EngineSilent)
	m.g.report(tlbooking.DecodeSilent, m.from.decode.ID)
}

// newSuccessor returns a generation that goes on where g is, at another engine and under a
// reservation of its own.
func (g *generation) newSuccessor(ctx context.Context, from placement) *generation {
	return &generation{
		x:             g.x,
		ctx:           ctx,
		isSuccessor:   true,
		reservation:   g.x.nextReservation(),
		avoid:         append(slices.Clone(g.avoid), from.decode.ID),
		decodeSends:   g.decodeSends,
		hasSentHeader: g.hasSentHeader,
		hasStalled:    g.hasStalled,
		version:       g.version,
		lastEventID:   g.lastEventID,
		lastFailure:   errEngineSilent,
	}
}

// prepareAhead prepares the next send before it is due.
func (g *generation) prepareAhead() error {
	if g.x.checkCut(g.ctx, tlhealth.TimedOut) && g.x.mustForward() {
		g.prepared = &preparation{isForwarded: true}
		return nil
	}
	p, err := g.prepare()
	if err != nil {
		return err
	}
	g.prepared = &p
	return nil
}

// discard releases what a successor holds that is not needed.
func (g *generation) discard() {
	g.releaseReservation()
	p := g.prepared
	g.unpick(p.placement)
	if p.source.IsSet() {
		go g.x.g.release(p.placement, p.source.Handle)
	}
}

// takeSuccessor ends the wait for an engine and returns the generation that continues
// elsewhere; nil if the engine keeps it, or the request has ended.
func (g *generation) takeSuccessor() *generation {
	s := g.relocation.stop()
	if s != nil && g.ctx.Err() != nil {
		s.discard()
		return nil
	}
	return s
}

// moveTo continues as another generation after an engine has been silent since began.
func (g *generation) moveTo(s *generation, from placement, began time.Time) {
	x := g.x
	now := x.g.deps.Now()
	if !from.isForwarded {
		x.observe(from.decode.ID, tlhealth.TimedOut, now.Sub(began))
	}
	x.g.deps.Count(Moved)
	x.step("moved", logrus.Fields{
		"Endpoint": from.decode.ID,
		"To":       s.prepared.placement.decode.ID,
		"After":    g.lastEventID,
	})
	e := tlbooking.DecodeFailed
	if g.relocation.hasReported {
		// One silence must not count as two lost answers.
		e = tlbooking.DecodeFull
	}
	g.abandonEngine(from.decode.ID, e)
	s.isSuccessor = false
	*g = *s
}
