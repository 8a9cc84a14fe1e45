package tlstandin

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
)

// tombstoneFor is how long a cancelled attempt is refused when it comes later.
const tombstoneFor = time.Minute

// Engine stands in for one model engine.
type Engine struct {
	name    string
	address netip.AddrPort
	checks  bool
	set     Behaviour
	faults  *Faults
	handler http.Handler
	client  *http.Client
	cancel  context.CancelFunc
	done    chan struct{}
	queued  chan struct{}

	mutex      sync.Mutex
	role       tlwire.Role
	models     []tlwire.LoadedModel
	fencing    uint64
	draining   bool
	dead       bool
	free       int
	queue      []*job
	prefills   map[string]*job
	decodes    map[string]*job
	streams    map[string]*job
	running    map[*job]struct{}
	tombstones map[string]time.Time
	importing  int
	cache      *prefixCache
	reports    []tlwire.LoadReport
	handles    uint64
	orders     []tlwire.Order
	prefilled  int
}

// NewEngine returns an engine with these models loaded; it runs until Close.
func NewEngine(c tlwire.Engine, l []tlwire.Model, b Behaviour) *Engine {
	x, cancel := context.WithCancel(context.Background())
	e := newEngine(c, l, b)
	e.cancel = cancel
	go e.run(x)
	return e
}

func newEngine(c tlwire.Engine, l []tlwire.Model, b Behaviour) *Engine {
	e := &Engine{
		name:    c.Name,
		address: c.Address,
		checks:  c.ChecksFencing,
		set:     b,
		faults:  NewFaults(),
		client:  &http.Client{Transport: &http.Transport{}},
		done:    make(chan struct{}),
		queued:  make(chan struct{}, 1),
		role:    c.Role,
		models:  loaded(l),
		cache:   newPrefixCache(b.CacheBlocks),
	}
	e.reset()
	e.handler = e.routes()
	return e
}

// Faults returns what the engine does wrong.
func (e *Engine) Faults() *Faults {
	return e.faults
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Kill cuts every connection and forgets everything, as a dead process does.
func (e *Engine) Kill() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dead = true
	for _, m := range []map[string]*job{e.prefills, e.decodes} {
		for _, j := range m {
			j.leave(goneKilled)
		}
	}
	e.reset()
}

// Restart lets a killed engine answer again, empty.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dead = false
}

// Drain makes the engine refuse new work, or accept it again.
func (e *Engine) Drain(on bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.draining = on
}

// Close ends the engine; its calls are cut.
func (e *Engine) Close() {
	e.Kill()
	e.cancel()
	<-e.done
	e.client.CloseIdleConnections()
}

// Done is closed when the engine has ended.
func (e *Engine) Done() <-chan struct{} {
	return e.done
}

// PiecesHeld returns how much memory is in use.
func (e *Engine) PiecesHeld() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.set.PiecesTotal - e.free
}

// Prefilled returns how many prefills have run to their end.
func (e *Engine) Prefilled() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prefilled
}

// reset needs the mutex.
func (e *Engine) reset() {
	e.free = e.set.PiecesTotal
	e.queue = nil
	e.prefills = map[string]*job{}
	e.decodes = map[string]*job{}
	e.streams = map[string]*job{}
	e.running = map[*job]struct{}{}
	e.tombstones = map[string]time.Time{}
	e.importing = 0
	e.cache.clear()
}

func (e *Engine) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /engine/prefills", e.prefill)
	m.HandleFunc("GET /engine/exports/{handle}", e.export)
	m.HandleFunc("POST /engine/imports", e.importCache)
	m.HandleFunc("POST /engine/streams", e.decode)
	m.HandleFunc("POST /engine/resumes", e.resume)
	m.HandleFunc("GET /engine/streams", e.list)
	m.HandleFunc("DELETE /engine/attempts/{attempt}", e.cancelAttempt)
	m.HandleFunc("GET /engine/load", e.load)
	m.HandleFunc("GET /engine/cache-events", e.cacheEvents)
	m.HandleFunc("POST /engine/orders", e.order)
	o := http.NewServeMux()
	addFaults(o, e.faults)
	o.HandleFunc("POST /control/engine", e.control)
	o.Handle("GET /healthz", e.alive(http.HandlerFunc(e.health)))
	o.Handle("/", e.alive(e.faults.Wrap(m)))
	return o
}

// alive cuts the connection of every call to a killed engine.
func (e *Engine) alive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mutex.Lock()
		dead := e.dead
		e.mutex.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	h := tlwire.Health{Name: e.name, Draining: e.draining}
	e.mutex.Unlock()
	answer(w, h)
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	c, ok := decode[tlwire.EngineControl](w, r)
	if !ok {
		return
	}
	e.Drain(c.Draining)
	if c.Kill {
		e.Kill()
	}
	if c.Restart {
		e.Restart()
	}
	w.WriteHeader(http.StatusNoContent)
}

// setAddress sets where the engine listens, by which it knows itself as a source.
func (e *Engine) setAddress(a netip.AddrPort) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.address = a
}
