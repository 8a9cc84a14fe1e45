package tlstandin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request) {
	q, ok := decode[tlwire.PrefillRequest](w, r)
	if !ok {
		return
	}
	j, no := e.queuePrefill(q)
	if no != nil {
		refuse(w, no.status, no.reason, no.message)
		return
	}
	defer e.detach(j)
	select {
	case <-j.ended:
	case <-j.gone:
	case <-r.Context().Done():
		return
	}
	e.answerPrefill(w, j)
}

func (e *Engine) answerPrefill(w http.ResponseWriter, j *job) {
	e.mutex.Lock()
	cause, v := j.cause, tlwire.PrefillResult{
		Attempt:      e.faults.attempt(j.attempt),
		Handle:       j.handle,
		Tokens:       j.tokens,
		CachedTokens: j.cached,
		Bytes:        j.bytes,
		HeldFor:      e.set.HoldFor,
	}
	e.mutex.Unlock()
	switch cause {
	case "":
		answer(w, v)
	case goneKilled:
		panic(http.ErrAbortHandler)
	default:
		refuse(w, http.StatusConflict, cause, "the prefill is gone")
	}
}

// detach notes that one connection less waits for a job.
func (e *Engine) detach(j *job) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.readers--
}

// refusal is why a call isn't carried out.
type refusal struct {
	status  int
	reason  string
	message string
}

func (e *Engine) queuePrefill(q tlwire.PrefillRequest) (*job, *refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	no := e.admit(q.Attempt, tlwire.RolePrefill, e.prefills)
	if no != nil {
		return nil, no
	}
	if !e.runs(q.Model, q.Version, q.Adapter) {
		return nil, &refusal{http.StatusConflict, reasonNoModel, q.Model + " is not loaded"}
	}
	t := Tokens(q.Prompt)
	if e.set.pieces(t) > e.set.PiecesTotal {
		return nil, &refusal{http.StatusRequestEntityTooLarge, reasonFull, "the prompt never fits"}
	}
	j := &job{
		attempt:     q.Attempt,
		request:     q.Request,
		owner:       q.Owner,
		incarnation: q.Incarnation,
		stage:       tlwire.StageQueued,
		priority:    q.Priority,
		prompt:      q.Prompt,
		tokens:      t,
		bytes:       int64(t) * e.set.BytesPerToken,
		born:        time.Now(),
		readers:     1,
		ended:       make(chan struct{}),
		gone:        make(chan struct{}),
	}
	e.prefills[q.Attempt] = j
	e.queue = append(e.queue, j)
	e.wakePrefill()
	return j, nil
}

// admit says why an engine takes no new work for an attempt; it needs the mutex.
func (e *Engine) admit(attempt string, half tlwire.Role, held map[string]*job) *refusal {
	if e.draining {
		return &refusal{http.StatusServiceUnavailable, reasonDraining, "the engine is leaving"}
	}
	if e.role != half && e.role != tlwire.RoleBoth {
		return &refusal{http.StatusConflict, reasonWrongRole, "the engine's role is " + string(e.role)}
	}
	if _, ok := e.tombstones[attempt]; ok {
		return &refusal{http.StatusConflict, reasonCancelled, "the attempt was cancelled"}
	}
	if _, ok := held[attempt]; ok {
		return &refusal{http.StatusConflict, reasonDuplicate, "the attempt is here already"}
	}
	return nil
}

func (e *Engine) wakePrefill() {
	select {
	case e.queued <- struct{}{}:
	default:
	}
}

// runPrefills runs queued prefills one after the other.
func (e *Engine) runPrefills(c context.Context) {
	for {
		j, d := e.startPrefill()
		if j == nil {
			select {
			case <-e.queued:
				continue
			case <-c.Done():
				return
			}
		}
		t := time.NewTimer(d)
		select {
		case <-t.C:
			e.endPrefill(j)
		case <-j.gone:
			t.Stop()
		case <-c.Done():
			t.Stop()
			return
		}
	}
}

// startPrefill takes the most urgent job that fits into memory.
func (e *Engine) startPrefill() (*job, time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	best := -1
	for i, j := range e.queue {
		if e.set.pieces(j.tokens) <= e.free && (best < 0 || j.priority > e.queue[best].priority) {
			best = i
		}
	}
	if best < 0 {
		return nil, 0
	}
	j := e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	j.stage = tlwire.StagePrefilling
	j.pieces = e.set.pieces(j.tokens)
	e.free -= j.pieces
	cached := e.cache.use(j.prompt, time.Now(), func() bool { return e.faults.draw(e.faults.Get().GapShare) })
	j.cached = min(cached*BlockBytes/TokenBytes, j.tokens)
	return j, e.set.prefillTime(j.tokens - j.cached)
}

func (e *Engine) endPrefill(j *job) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if j.cause != "" {
		return
	}
	e.handles++
	e.prefilled++
	j.handle = fmt.Sprintf("%s-%d", e.name, e.handles)
	j.stage = tlwire.StageHeld
	close(j.ended)
	j.lapse = time.AfterFunc(e.set.HoldFor, func() { e.lapsePrefill(j) })
}

// lapsePrefill forgets a held result unless an engine is fetching it.
func (e *Engine) lapsePrefill(j *job) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.lapsed = true
	if j.pins == 0 {
		e.dropPrefill(j, goneLapsed)
	}
}

// dropPrefill gives the memory of a prefill back; it needs the mutex.
func (e *Engine) dropPrefill(j *job, cause string) int {
	if j.cause != "" {
		return 0
	}
	n := j.pieces
	e.free += n
	j.pieces = 0
	delete(e.prefills, j.attempt)
	e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
	j.leave(cause)
	e.wakePrefill()
	return n
}
