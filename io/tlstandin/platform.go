package tlstandin

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"trefoillanding/core/tlwire"
)

// PlatformLimits sets the rates and the retention of the platform's stand-in.
type PlatformLimits struct {
	// AppendsPerSecond is the rate of appends of all streams together.
	AppendsPerSecond float64
	// KeepFor is how long a record is kept; 0 keeps it for ever.
	KeepFor time.Duration
	// KeepRecords is how many records a stream keeps; 0 keeps all.
	KeepRecords int
	// WeightReadsPerSecond is the rate of the weight store.
	WeightReadsPerSecond float64
	// WeightBytes is the size of every model's weights.
	WeightBytes int64
	// WeightBytesPerSecond is the store's rate for all readers together.
	WeightBytesPerSecond int64
}

// NewPlatformLimits returns the limits of an ordinary platform.
func NewPlatformLimits() PlatformLimits {
	return PlatformLimits{
		AppendsPerSecond:     400,
		WeightReadsPerSecond: 50,
		WeightBytes:          16_000_000_000,
		WeightBytesPerSecond: 2_000_000_000,
	}
}

// Platform stands in for the log service, the instance list and the weight store.
type Platform struct {
	limits  PlatformLimits
	faults  *Faults
	appends *rate.Limiter
	weights *rate.Limiter
	handler http.Handler
	// started makes the entity tags of a restarted platform differ.
	started int64

	mutex   sync.Mutex
	streams map[string]*logStream
	known   []tlwire.Instance
	lists   []datedList
}

// NewPlatform returns a platform with an empty log and an empty instance list.
func NewPlatform(l PlatformLimits) *Platform {
	p := &Platform{
		limits:  l,
		faults:  NewFaults(),
		appends: rate.NewLimiter(rate.Limit(l.AppendsPerSecond), int(l.AppendsPerSecond)+1),
		started: time.Now().UnixNano(),
		weights: rate.NewLimiter(rate.Limit(l.WeightReadsPerSecond), int(l.WeightReadsPerSecond)+1),
		streams: map[string]*logStream{},
		lists:   []datedList{{list: tlwire.InstanceList{Instances: []tlwire.Instance{}}}},
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /log/{stream}/records", p.append)
	m.HandleFunc("GET /log/{stream}/records", p.read)
	m.HandleFunc("GET /instances", p.instances)
	m.HandleFunc("GET /weights/{model}/{version}", p.weight)
	o := http.NewServeMux()
	addFaults(o, p.faults)
	o.HandleFunc("POST /control/instances", p.controlInstances)
	o.Handle("/", p.faults.Wrap(m))
	p.handler = o
	return p
}

// Faults returns what the platform does wrong.
func (p *Platform) Faults() *Faults {
	return p.faults
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// Records returns all records that a stream still keeps.
func (p *Platform) Records(stream string) []tlwire.LogRecord {
	s := p.stream(stream)
	return s.read(time.Now(), 0, math.MaxInt).Records
}

func (p *Platform) stream(name string) *logStream {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.streams[name]
	if s == nil {
		s = newLogStream(p.limits.KeepFor, p.limits.KeepRecords)
		p.streams[name] = s
	}
	return s
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	q, ok := decode[tlwire.AppendRequest](w, r)
	if !ok {
		return
	}
	if len(q.Records) == 0 {
		refuse(w, http.StatusBadRequest, reasonBadBody, "no records")
		return
	}
	if !p.appends.Allow() {
		refuse(w, http.StatusTooManyRequests, reasonOverRate, "too many appends")
		return
	}
	o := p.stream(r.PathValue("stream")).append(time.Now(), q.Records)
	answer(w, tlwire.AppendResult{FirstOffset: o})
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	q, err := parseRead(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, reasonBadBody, err.Error())
		return
	}
	s := p.stream(r.PathValue("stream"))
	s.wait(r.Context(), q.from, q.wait)
	v := s.read(time.Now(), q.from, q.limit)
	if q.from < v.Oldest {
		answerStatus(w, http.StatusGone, tlwire.ReadResult{
			Oldest: v.Oldest, Next: v.Next, Records: []tlwire.LogRecord{},
		})
		return
	}
	answer(w, v)
}

func (p *Platform) weight(w http.ResponseWriter, r *http.Request) {
	if !p.weights.Allow() {
		refuse(w, http.StatusTooManyRequests, reasonOverRate, "too many reads of weights")
		return
	}
	answer(w, tlwire.WeightInfo{
		Model:          r.PathValue("model"),
		Version:        strings.TrimSpace(r.PathValue("version")),
		Bytes:          p.limits.WeightBytes,
		BytesPerSecond: p.limits.WeightBytesPerSecond,
	})
}

type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parseRead(r *http.Request) (readQuery, error) {
	q := readQuery{from: 1}
	v := r.URL.Query()
	var err error
	if t := v.Get("From"); t != "" {
		q.from, err = strconv.ParseUint(t, 10, 64)
	}
	if t := v.Get("Limit"); t != "" && err == nil {
		q.limit, err = strconv.Atoi(t)
	}
	if t := v.Get("Wait"); t != "" && err == nil {
		q.wait, err = time.ParseDuration(t)
	}
	return q, err
}
