package tloperator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// maxCallBytes is the longest call of an operator, in bytes.
const maxCallBytes = 16 << 20

// maxWait is the longest wait for a generation to be in force.
const maxWait = 10 * time.Minute

// Deps is what the operators' calls need from their surroundings.
type Deps struct {
	// Token must come with every call when it is set.
	Token string
	// Apply puts files in force as a whole and returns their generation.
	Apply func(ctx context.Context, c tlwire.ApplyCall) (uint64, error)
	// Config returns the configuration in force, or nil before there is one.
	Config func() (uint64, *tlconfig.Config)
	// Status tells what is going on.
	Status func() tlwire.Status
	// WaitForGeneration waits until a generation is in force on every live instance, and
	// returns those on which it is not when ctx ends.
	WaitForGeneration func(ctx context.Context, generation uint64) []string
	// Refuse writes an error with its verdict and counts it.
	Refuse func(w http.ResponseWriter, err error)
}

// New returns the handler of the operators' calls.
func New(d Deps) http.Handler {
	m := http.NewServeMux()
	m.Handle("POST /v1/operator/configuration", handle(d, d.apply))
	m.Handle("GET /v1/operator/configuration", handle(d, d.get))
	m.Handle("GET /v1/operator/status", handle(d, d.status))
	m.Handle("GET /v1/operator/in-force", handle(d, d.inForce))
	m.Handle("/", handle(d, unknown))
	return m
}

// handle answers a call with the value that serve returns, as JSON.
func handle[A any](d Deps, serve func(w http.ResponseWriter, r *http.Request) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.isAllowed(r) {
			d.Refuse(w, tlverdict.New(tlverdict.NotAllowed, "the operator token is missing or wrong"))
			return
		}
		a, err := serve(w, r)
		if err != nil {
			d.Refuse(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	})
}

func (d Deps) isAllowed(r *http.Request) bool {
	if d.Token == "" {
		return true
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(token), []byte(d.Token)) == 1
}

func (d Deps) apply(w http.ResponseWriter, r *http.Request) (tlwire.ApplyAnswer, error) {
	var c tlwire.ApplyCall
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&c)
	if err != nil {
		return tlwire.ApplyAnswer{}, tlverdict.New(tlverdict.BadBody, "the body is not a call to apply: %v", err)
	}
	g, err := d.Apply(r.Context(), c)
	return tlwire.ApplyAnswer{Generation: g}, err
}

func (d Deps) get(http.ResponseWriter, *http.Request) (tlwire.ConfigAnswer, error) {
	g, c := d.Config()
	if c == nil {
		return tlwire.ConfigAnswer{}, tlverdict.New(tlverdict.NoConfig, "the instance has no configuration yet")
	}
	return tlwire.ConfigAnswer{Generation: g, Config: c.Declared}, nil
}

func (d Deps) status(http.ResponseWriter, *http.Request) (tlwire.Status, error) {
	return d.Status(), nil
}

func (d Deps) inForce(_ http.ResponseWriter, r *http.Request) (tlwire.InForceStatus, error) {
	q := r.URL.Query()
	generation, err := strconv.ParseUint(q.Get("Generation"), 10, 64)
	if err != nil {
		return tlwire.InForceStatus{}, tlverdict.New(tlverdict.BadHeader, "Generation is not a number")
	}
	wait, err := time.ParseDuration(q.Get("Wait"))
	if err != nil || wait > maxWait {
		return tlwire.InForceStatus{}, tlverdict.New(tlverdict.BadHeader, "Wait is not a duration up to %s", maxWait)
	}
	ctx, stop := context.WithTimeout(r.Context(), wait)
	defer stop()
	return tlwire.InForceStatus{Generation: generation, Behind: d.WaitForGeneration(ctx, generation)}, nil
}

func unknown(_ http.ResponseWriter, r *http.Request) (struct{}, error) {
	return struct{}{}, tlverdict.New(tlverdict.UnknownPath, "no operator's call is at %s %s", r.Method, r.URL.Path)
}
