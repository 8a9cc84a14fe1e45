package tlstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
)

const plainBodyLimit = 1 << 20

// keyHeaders are the headers that may carry a call's key, in order.
var keyHeaders = []string{"Trefoil-Key", "Idempotency-Key"}

// Plain stands in for one endpoint of a plain service and records what it ran.
type Plain struct {
	name    string
	faults  *Faults
	handler http.Handler

	mutex sync.Mutex
	runs  []tlwire.Run
	delay time.Duration
}

// plainAnswer is what every call of a plain service answers.
type plainAnswer struct {
	Endpoint string
	Run      int
	Item     string `json:",omitempty"`
	InStock  int    `json:",omitempty"`
}

// NewPlain returns an endpoint of order-desk and shopfront-app.
func NewPlain(name string) *Plain {
	p := &Plain{name: name, faults: NewFaults()}
	m := http.NewServeMux()
	m.HandleFunc("POST /payments", p.act)
	m.HandleFunc("POST /checkout", p.act)
	m.HandleFunc("POST /reprint", p.act)
	m.HandleFunc("GET /stock/{item}", p.look)
	m.HandleFunc("GET /catalogue/{item}", p.look)
	o := http.NewServeMux()
	addFaults(o, p.faults)
	o.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, tlwire.RunList{Runs: p.All()})
	})
	o.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, tlwire.Health{Name: p.name})
	})
	o.Handle("/", p.faults.Wrap(m))
	p.handler = o
	return p
}

// Faults returns what the endpoint does wrong.
func (p *Plain) Faults() *Faults {
	return p.faults
}

// SetDelay sets how long each call takes to run.
func (p *Plain) SetDelay(d time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = d
}

// ServeHTTP answers one call.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// All returns every call that ran, in order.
func (p *Plain) All() []tlwire.Run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]tlwire.Run{}, p.runs...)
}

// Runs counts the calls that ran with a key, a Reference or a whole body.
func (p *Plain) Runs(key string) int {
	n := 0
	for _, r := range p.All() {
		if r.Key == key || r.Body == key {
			n++
		}
	}
	return n
}

// act runs a call that must not repeat.
func (p *Plain) act(w http.ResponseWriter, r *http.Request) {
	n, ok := p.record(r)
	if !ok {
		return
	}
	answerStatus(w, http.StatusCreated, plainAnswer{Endpoint: p.name, Run: n})
}

// look runs a call that may repeat.
func (p *Plain) look(w http.ResponseWriter, r *http.Request) {
	n, ok := p.record(r)
	if !ok {
		return
	}
	i := r.PathValue("item")
	answer(w, plainAnswer{Endpoint: p.name, Run: n, Item: i, InStock: len(i)})
}

func (p *Plain) record(r *http.Request) (int, bool) {
	b, err := io.ReadAll(io.LimitReader(r.Body, plainBodyLimit))
	if err != nil {
		return 0, false
	}
	v := tlwire.Run{Endpoint: p.name, Method: r.Method, Path: r.URL.Path, Key: keyOf(r, b), Body: string(b)}
	p.mutex.Lock()
	p.runs = append(p.runs, v)
	n, d := len(p.runs), p.delay
	p.mutex.Unlock()
	return n, pause(r, d)
}

func keyOf(r *http.Request, body []byte) string {
	i := slices.IndexFunc(keyHeaders, func(h string) bool { return r.Header.Get(h) != "" })
	if i >= 0 {
		return r.Header.Get(keyHeaders[i])
	}
	var v struct{ Reference string }
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	return v.Reference
}
