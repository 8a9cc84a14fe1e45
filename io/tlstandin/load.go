package tlstandin

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	answer(w, e.Load())
}

// Load returns the load report that callers see at present.
func (e *Engine) Load() tlwire.LoadReport {
	lag := e.faults.Get().LoadLag
	now := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if lag <= 0 || len(e.reports) == 0 {
		return e.report(now)
	}
	i := len(e.reports) - 1
	for i > 0 && e.reports[i].ReportedAt.After(now.Add(-lag)) {
		i--
	}
	return e.reports[i]
}

// report needs the mutex.
func (e *Engine) report(now time.Time) tlwire.LoadReport {
	queued := 0
	for _, j := range e.queue {
		queued += j.tokens
	}
	unread := 0
	for _, m := range []map[string]*job{e.prefills, e.decodes} {
		for _, j := range m {
			if j.isUnread() {
				unread++
			}
		}
	}
	return tlwire.LoadReport{
		Name:          e.name,
		Role:          e.role,
		Models:        slices.Clone(e.models),
		PiecesTotal:   e.set.PiecesTotal,
		PiecesFree:    e.free,
		QueuedTokens:  queued,
		Running:       len(e.running),
		Unread:        unread,
		Draining:      e.draining,
		FencingNumber: e.fencing,
		ReportedAt:    now,
	}
}

func (e *Engine) list(w http.ResponseWriter, _ *http.Request) {
	answer(w, tlwire.StreamList{Streams: e.Streams()})
}

// Streams returns everything that is held or waits.
func (e *Engine) Streams() []tlwire.StreamInfo {
	now := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l := make([]tlwire.StreamInfo, 0, len(e.prefills)+len(e.decodes))
	for _, m := range []map[string]*job{e.prefills, e.decodes} {
		for _, j := range m {
			l = append(l, j.info(now))
		}
	}
	slices.SortFunc(l, func(a, b tlwire.StreamInfo) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return l
}

func (j *job) info(now time.Time) tlwire.StreamInfo {
	return tlwire.StreamInfo{
		Attempt:     j.attempt,
		Stream:      j.stream,
		Request:     j.request,
		Owner:       j.owner,
		Incarnation: j.incarnation,
		Stage:       j.stage,
		Pieces:      j.pieces,
		Tokens:      j.next,
		HasReader:   j.readers > 0,
		Age:         now.Sub(j.born),
	}
}
