package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlpace"
)

// PaceStatus is the measured speed of an endpoint.
type PaceStatus struct {
	// AnswerMs is the time of an answer, in milliseconds, with no more requests in flight
	// than Concurrency; 0 for engines.
	AnswerMs float64 `json:",omitempty"`
	// Concurrency is the number of requests from this instance that the endpoint handles
	// well at once; at most its slots.
	Concurrency float64 `json:",omitempty"`
	// PrefillMs and DecodeMs are the milliseconds for each token of a prompt and of an answer.
	PrefillMs float64 `json:",omitempty"`
	DecodeMs  float64 `json:",omitempty"`
	// PrefillRatio and DecodeRatio are how many times longer than usual an engine takes; 1
	// where it does not differ measurably.
	PrefillRatio float64 `json:",omitempty"`
	DecodeRatio  float64 `json:",omitempty"`
	// Samples is the number of measurements, and AgeMs the age of the last one.
	Samples int
	AgeMs   int64
}

// addPaces adds the measured speeds of a service's endpoints.
func (i *Instance) addPaces(list map[string]PaceStatus, service string) {
	now := time.Now()
	for _, p := range i.coordinator.Paces(service) {
		list[p.Engine] = PaceStatus{
			PrefillMs:    milliseconds(p.Prefill),
			DecodeMs:     milliseconds(p.Decode),
			PrefillRatio: p.PrefillRatio,
			DecodeRatio:  p.DecodeRatio,
			Samples:      p.Prefill.Samples + p.Decode.Samples,
			AgeMs:        now.Sub(p.MeasuredAt()).Milliseconds(),
		}
	}
	if i.table.Load().Service(service).Engine != nil {
		return
	}
	for id, c := range i.directory.Curves(service) {
		list[id] = PaceStatus{
			AnswerMs:    milliseconds(c.Pace),
			Concurrency: c.Knee,
			Samples:     c.Pace.Samples,
			AgeMs:       now.Sub(c.Pace.At).Milliseconds(),
		}
	}
}

func milliseconds(p tlpace.Pace) float64 {
	return 1000 * p.Seconds()
}

func (i *Instance) logPaceChange(id string, before, after time.Duration) {
	i.log.WithFields(logrus.Fields{
		"Endpoint": id,
		"BeforeMs": before.Milliseconds(),
		"NowMs":    after.Milliseconds(),
	}).Info("endpoint pace changed")
}
