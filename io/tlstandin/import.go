package tlstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
)

// linkTick is how often the bytes that have come over the link are counted.
const linkTick = 2 * time.Millisecond

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	q, ok := decode[tlwire.ImportRequest](w, r)
	if !ok {
		return
	}
	j, no := e.reserve(q)
	if no != nil {
		refuse(w, no.status, no.reason, no.message)
		return
	}
	defer e.detach(j)
	fetched := make(chan *refusal, 1)
	go e.fetch(j, q, fetched)
	select {
	case no = <-fetched:
	case <-j.gone:
		e.refuseGone(w, j)
		return
	case <-r.Context().Done():
		return
	}
	if no != nil {
		refuse(w, no.status, no.reason, no.message)
		return
	}
	e.showProgress(w, r, j)
}

func (e *Engine) refuseGone(w http.ResponseWriter, j *job) {
	e.mutex.Lock()
	cause := j.cause
	e.mutex.Unlock()
	if cause == goneKilled {
		panic(http.ErrAbortHandler)
	}
	refuse(w, http.StatusConflict, cause, "the import is gone")
}

// reserve takes the memory for an import.
func (e *Engine) reserve(q tlwire.ImportRequest) (*job, *refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	no := e.admit(q.Attempt, tlwire.RoleDecode, e.decodes)
	if no != nil {
		return nil, no
	}
	n := max(q.Pieces, e.set.pieces(q.Tokens+1))
	if n > e.free {
		m := fmt.Sprintf("%d pieces are free, %d are needed", e.free, n)
		return nil, &refusal{http.StatusServiceUnavailable, reasonFull, m}
	}
	e.free -= n
	j := &job{
		attempt:     q.Attempt,
		request:     q.Request,
		owner:       q.Owner,
		incarnation: q.Incarnation,
		stage:       tlwire.StageImporting,
		pieces:      n,
		tokens:      q.Tokens,
		born:        time.Now(),
		readers:     1,
		ended:       make(chan struct{}),
		gone:        make(chan struct{}),
	}
	e.decodes[q.Attempt] = j
	return j, nil
}

// fetch moves a cache from its source; it goes on when the caller has gone.
func (e *Engine) fetch(j *job, q tlwire.ImportRequest, fetched chan<- *refusal) {
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-j.gone:
			cancel()
		case <-c.Done():
		}
	}()
	b, no := e.openExport(c, j, q)
	fetched <- no
	if no != nil {
		e.dropDecodeNow(j, goneFailed)
		return
	}
	defer b.Close()
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		_, _ = io.Copy(io.Discard, b)
	}()
	if !e.move(j, q, lost) {
		e.dropDecodeNow(j, goneFailed)
	}
}

func (e *Engine) openExport(c context.Context, j *job, q tlwire.ImportRequest) (io.ReadCloser, *refusal) {
	u := fmt.Sprintf("http://%s/engine/exports/%s", q.Source, q.Handle)
	r, err := http.NewRequestWithContext(c, http.MethodGet, u, nil)
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, reasonBadBody, err.Error()}
	}
	a, err := e.client.Do(r)
	if err != nil {
		return nil, &refusal{http.StatusBadGateway, reasonSource, err.Error()}
	}
	if a.StatusCode != http.StatusOK {
		a.Body.Close()
		return nil, &refusal{http.StatusNotFound, reasonUnknown, "the source does not hold the cache"}
	}
	d := json.NewDecoder(a.Body)
	var x tlwire.Export
	err = d.Decode(&x)
	if err != nil {
		a.Body.Close()
		return nil, &refusal{http.StatusBadGateway, reasonSource, err.Error()}
	}
	e.mutex.Lock()
	j.prompt, j.tokens, j.bytes = x.Prompt, x.Tokens, x.Bytes
	e.mutex.Unlock()
	return a.Body, nil
}

// move counts the bytes that the link brings until all have come.
func (e *Engine) move(j *job, q tlwire.ImportRequest, lost <-chan struct{}) bool {
	e.changeImporting(1)
	defer e.changeImporting(-1)
	stall := e.faults.draw(e.faults.Get().StallImports)
	t := time.NewTicker(linkTick)
	defer t.Stop()
	last := time.Now()
	for {
		now := time.Now()
		if e.advance(j, now.Sub(last), q.Source, stall) {
			return true
		}
		last = now
		select {
		case <-t.C:
		case <-j.gone:
			return true
		case <-lost:
			return false
		}
	}
}

// advance adds what came in d and says whether all has come.
func (e *Engine) advance(j *job, d time.Duration, source netip.AddrPort, stall bool) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	share := float64(e.set.LinkBytesPerSecond) / float64(max(e.importing, 1))
	j.moved = min(j.bytes, j.moved+int64(share*d.Seconds()))
	if source == e.address {
		j.moved = j.bytes
	}
	if stall {
		j.moved = min(j.moved, j.bytes/2)
	}
	j.notify()
	if j.moved < j.bytes || stall {
		return false
	}
	if j.cause == "" && j.stage == tlwire.StageImporting {
		j.stage = tlwire.StageHeld
		close(j.ended)
		j.lapse = time.AfterFunc(e.set.ImportedFor, func() { e.lapseImport(j) })
	}
	return true
}

func (e *Engine) changeImporting(n int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.importing = max(0, e.importing+n)
}

// lapseImport frees an imported cache whose stream never started.
func (e *Engine) lapseImport(j *job) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if j.stage == tlwire.StageHeld {
		e.dropDecode(j, goneLapsed)
	}
}

// showProgress writes lines until the import has ended.
func (e *Engine) showProgress(w http.ResponseWriter, r *http.Request, j *job) {
	v := newWatcher()
	e.mutex.Lock()
	j.replace(v)
	e.mutex.Unlock()
	c := http.NewResponseController(w)
	x := json.NewEncoder(w)
	for {
		p, cause := e.progress(j)
		if cause == goneKilled {
			panic(http.ErrAbortHandler)
		}
		if x.Encode(p) != nil || c.Flush() != nil {
			return
		}
		if p.Done || p.Error != "" {
			pause(r, e.set.Linger)
			return
		}
		select {
		case <-v.wake:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) progress(j *job) (tlwire.ImportProgress, string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return tlwire.ImportProgress{
		Attempt: e.faults.attempt(j.attempt),
		Bytes:   j.moved,
		Total:   j.bytes,
		Done:    j.cause == "" && j.stage != tlwire.StageImporting,
		Error:   j.cause,
	}, j.cause
}

func (e *Engine) dropDecodeNow(j *job, cause string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dropDecode(j, cause)
}

// dropDecode gives the memory of an import or stream back; it needs the mutex.
func (e *Engine) dropDecode(j *job, cause string) int {
	if j.cause != "" {
		return 0
	}
	n := j.pieces
	e.free += n
	j.pieces = 0
	delete(e.decodes, j.attempt)
	delete(e.streams, j.stream)
	delete(e.running, j)
	j.leave(cause)
	e.wakePrefill()
	return n
}
