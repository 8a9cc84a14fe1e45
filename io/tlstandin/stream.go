package tlstandin

import (
	"math"
	"net/http"
	"time"

	"trefoillanding/core/tlwire"
)

const (
	finishStop   = "stop"
	finishLength = "length"
)

func (e *Engine) decode(w http.ResponseWriter, r *http.Request) {
	q, ok := decode[tlwire.DecodeRequest](w, r)
	if !ok {
		return
	}
	v := newWatcher()
	j, no := e.start(q, v)
	if no != nil {
		refuse(w, no.status, no.reason, no.message)
		return
	}
	e.write(w, r, j, v, q.FirstIndex)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	q, ok := decode[tlwire.ResumeRequest](w, r)
	if !ok {
		return
	}
	v := newWatcher()
	j, no := e.take(q, v)
	if no != nil {
		refuse(w, no.status, no.reason, no.message)
		return
	}
	e.write(w, r, j, v, q.FirstIndex)
}

// start turns an imported cache into a stream.
func (e *Engine) start(q tlwire.DecodeRequest, v *watcher) (*job, *refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j := e.decodes[q.Attempt]
	if j == nil {
		return nil, &refusal{http.StatusNotFound, reasonUnknown, "nothing was imported for the attempt"}
	}
	if j.stage != tlwire.StageHeld {
		return nil, &refusal{http.StatusConflict, reasonNotReady, "the attempt's stage is " + string(j.stage)}
	}
	o, ok := original(j.prompt, q.FirstIndex)
	if !ok {
		e.dropDecode(j, goneFailed)
		return nil, &refusal{http.StatusBadRequest, reasonMismatch, "the delivered tokens are not the answer's first ones"}
	}
	j.stage = tlwire.StageDecoding
	j.stream, j.priority = q.Stream, q.Priority
	j.owner, j.incarnation = q.Owner, q.Incarnation
	j.seed, j.first, j.next = seedOf(o), q.FirstIndex, q.FirstIndex
	j.stop, j.finish = e.set.Length(o), finishStop
	j.prompt = ""
	if q.MaxTokens < j.stop {
		j.stop, j.finish = q.MaxTokens, finishLength
	}
	j.ready.Store(int64(j.next))
	j.stallAt, j.failAt = e.drawStops(j.first)
	e.streams[q.Stream] = j
	e.running[j] = struct{}{}
	j.readers++
	j.replace(v)
	if j.next >= j.stop {
		e.finish(j)
	}
	return j, nil
}

// drawStops returns where a new stream stalls and where it fails; -1 is nowhere.
func (e *Engine) drawStops(first int) (int, int) {
	s := e.faults.Get()
	stall, fail := -1, -1
	if e.faults.draw(s.StallStreams) {
		stall = first + s.StopAfter
	}
	if e.faults.draw(s.FailStreams) {
		fail = first + s.StopAfter
	}
	return stall, fail
}

// take makes a new owner the reader of a stream.
func (e *Engine) take(q tlwire.ResumeRequest, v *watcher) (*job, *refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j := e.streams[q.Stream]
	if j == nil || q.FirstIndex < j.first || q.FirstIndex > j.stop {
		return nil, &refusal{http.StatusNotFound, reasonUnknown, "the stream is gone"}
	}
	j.owner, j.incarnation = q.Owner, q.Incarnation
	j.readers++
	j.replace(v)
	return j, nil
}

// finish gives the memory of a stream back that was decoded to its end; its
// tokens stay for a while; it needs the mutex.
func (e *Engine) finish(j *job) {
	j.stage = tlwire.StageFinished
	j.ready.Store(ended)
	delete(e.running, j)
	e.free += j.pieces
	j.pieces = 0
	e.wakePrefill()
	j.lapse = time.AfterFunc(e.set.FinishedFor, func() { e.dropDecodeNow(j, goneLapsed) })
	j.notify()
}

// step adds n tokens to every stream that decodes.
func (e *Engine) step(n int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for j := range e.running {
		e.grow(j, n)
	}
}

// grow adds tokens to one stream, and memory where it needs it; it needs the mutex.
func (e *Engine) grow(j *job, n int) {
	if j.stallAt >= 0 {
		n = min(n, max(0, j.stallAt-j.next))
	}
	if j.failAt >= 0 && j.next+n >= j.failAt {
		e.dropDecode(j, goneFailed)
		return
	}
	if n == 0 {
		return
	}
	j.next = min(j.next+n, j.stop)
	if more := e.set.pieces(j.tokens+j.next-j.first) - j.pieces; more > 0 {
		if more > e.free {
			e.dropDecode(j, goneNoMemory)
			return
		}
		e.free -= more
		j.pieces += more
	}
	if j.next == j.stop {
		e.finish(j)
		return
	}
	j.ready.Store(int64(j.next))
	j.notify()
}

// leaveReader notes that a connection no longer reads a stream.
func (e *Engine) leaveReader(j *job, v *watcher) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.readers--
	if j.watch == v {
		j.watch = nil
	}
}

// view is what a reader sees of a stream at one moment.
type view struct {
	next   int
	stop   int
	done   bool
	finish string
	cause  string
}

func (e *Engine) view(j *job) view {
	if n := j.ready.Load(); n != ended {
		return view{next: int(n), stop: math.MaxInt}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return view{
		next:   j.next,
		stop:   j.stop,
		done:   j.stage == tlwire.StageFinished,
		finish: j.finish,
		cause:  j.cause,
	}
}

// write sends a stream's tokens as they come, until its end or the reader's.
func (e *Engine) write(w http.ResponseWriter, r *http.Request, j *job, v *watcher, first int) {
	defer e.leaveReader(j, v)
	w.Header().Set("Content-Type", "application/x-ndjson")
	c := http.NewResponseController(w)
	l := newLines(j.attempt, j.seed, first, e.faults)
	for {
		s := e.view(j)
		if s.cause == goneKilled {
			panic(http.ErrAbortHandler)
		}
		b, ended := l.upTo(s)
		if _, err := w.Write(b); err != nil || c.Flush() != nil {
			return
		}
		if l.reached(l.cutAt) {
			panic(http.ErrAbortHandler)
		}
		if l.reached(l.freezeAt) {
			e.holdFrozen(r, j)
			return
		}
		if ended {
			pause(r, e.set.Linger)
			return
		}
		select {
		case <-v.wake:
		case <-v.cut:
			_, _ = w.Write(l.error(streamTaken))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// holdFrozen keeps a connection open until its reader leaves or the engine dies.
func (e *Engine) holdFrozen(r *http.Request, j *job) {
	select {
	case <-r.Context().Done():
		return
	case <-j.gone:
	}
	if e.view(j).cause == goneKilled {
		panic(http.ErrAbortHandler)
	}
	<-r.Context().Done()
}
