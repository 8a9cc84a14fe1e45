package tltrial

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoillanding/core/tlwire"
)

// Outcome says how a request ended.
type Outcome int

// The ways in which a request ends.
const (
	Good Outcome = iota
	LateFirst
	LateBetween
	Refused
	Failed
	GaveUp
	Unfinished
	outcomes
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Good", "LateFirst", "LateBetween", "Refused", "Failed", "GaveUp", "Unfinished"}[o]
}

// Result is what one trial, or several of them together, measured.
type Result struct {
	Trials        int
	Duration      time.Duration
	Outcomes      [outcomes]int
	Organisations []Share
	Computed      float64
	Wasted        float64
	Cached        float64
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
	Counters      map[string]uint64
	HeldShare     float64
	// Timeline counts the requests by when they first arrived.
	Timeline []Span
	samples  int
}

// SpanLength is how much time a span of a timeline covers.
const SpanLength = 5 * time.Second

// Span counts the requests that arrived in a part of the measured time.
type Span struct {
	Offered int
	Good    int
}

// Share is what one organisation got.
type Share struct {
	Offered     int
	Good        int
	Answered    int
	PieceTokens float64
}

func newResult(x tlwire.Experiment) *Result {
	return &Result{
		Trials:        1,
		Duration:      x.Duration,
		Organisations: make([]Share, max(x.Organisations, 1)),
		FirstToken:    hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
		BetweenTokens: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
		Counters:      make(map[string]uint64),
		Timeline:      make([]Span, x.Duration/SpanLength+1),
	}
}

// Merge adds another result of the same setting.
func (r *Result) Merge(o *Result) {
	r.Trials += o.Trials
	r.Duration += o.Duration
	for i, n := range o.Outcomes {
		r.Outcomes[i] += n
	}
	for i, s := range o.Organisations {
		r.Organisations[i].Offered += s.Offered
		r.Organisations[i].Good += s.Good
		r.Organisations[i].Answered += s.Answered
		r.Organisations[i].PieceTokens += s.PieceTokens
	}
	for i, s := range o.Timeline {
		r.Timeline[i].Offered += s.Offered
		r.Timeline[i].Good += s.Good
	}
	r.Computed += o.Computed
	r.Wasted += o.Wasted
	r.Cached += o.Cached
	r.FirstToken.Merge(o.FirstToken)
	r.BetweenTokens.Merge(o.BetweenTokens)
	for n, v := range o.Counters {
		r.Counters[n] += v
	}
	r.HeldShare = (r.HeldShare*float64(r.samples) + o.HeldShare*float64(o.samples)) / float64(r.samples+o.samples)
	r.samples += o.samples
}

// Offered returns how many requests were measured.
func (r *Result) Offered() int {
	n := 0
	for _, o := range r.Outcomes {
		n += o
	}
	return n
}

// Goodput returns the good requests a second.
func (r *Result) Goodput() float64 {
	return float64(r.Outcomes[Good]) / r.Duration.Seconds()
}

// WastedShare returns the part of all prefilled tokens whose result was never used.
func (r *Result) WastedShare() float64 {
	return ratio(r.Wasted, r.Computed)
}

// Flooder returns the part of the first organisation's requests that were good.
func (r *Result) Flooder() float64 {
	s := r.Organisations[0]
	return ratio(float64(s.Good), float64(s.Offered))
}

// Worst returns the least part of good requests of any other organisation.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, s := range r.Organisations[1:] {
		worst = min(worst, ratio(float64(s.Good), float64(s.Offered)))
	}
	return worst
}

// Others returns the part of good requests of all organisations but the first.
func (r *Result) Others() float64 {
	good, offered := 0, 0
	for _, s := range r.Organisations[1:] {
		good += s.Good
		offered += s.Offered
	}
	return ratio(float64(good), float64(offered))
}

// FlooderShare returns the first organisation's part of the memory and time of all answers.
func (r *Result) FlooderShare() float64 {
	sum := 0.0
	for _, s := range r.Organisations {
		sum += s.PieceTokens
	}
	return ratio(r.Organisations[0].PieceTokens, sum)
}

func (r *Result) note(at time.Duration, o Outcome) {
	s := &r.Timeline[at/SpanLength]
	s.Offered++
	if o == Good {
		s.Good++
	}
}

func (r *Result) sampleHeld(share float64) {
	r.samples++
	r.HeldShare += (share - r.HeldShare) / float64(r.samples)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func organisation(i int) string {
	return fmt.Sprintf("organisation-%02d", i)
}
