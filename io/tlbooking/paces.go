package tlbooking

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlpace"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlwire"
)

// maxSentPaces bounds the estimates in a report to a new home, of about 120 bytes each: at
// 760 instances they still cover 10,000 engines.
const maxSentPaces = 16

// maxPaceAge bounds the age of an estimate that a message names.
const maxPaceAge = time.Hour

// encodePaces returns the estimate of all engines together, which is first, and those of
// the engines that were measured last.
func encodePaces(now time.Time, list []tlplace.EnginePace) []tlwire.EnginePace {
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list[1:], func(a, b tlplace.EnginePace) int {
		return b.MeasuredAt().Compare(a.MeasuredAt())
	})
	var sent []tlwire.EnginePace
	for _, p := range list[:min(len(list), maxSentPaces)] {
		sent = append(sent, tlwire.EnginePace{
			Engine:      p.Engine,
			Incarnation: p.Incarnation,
			Prefill:     encodePace(now, p.Prefill),
			Decode:      encodePace(now, p.Decode),
		})
	}
	return sent
}

// logPaceChanges logs the engines whose speed changed much, at the home of their service.
func (d *Coordinator) logPaceChanges(now time.Time, service string, k *reservations) {
	for _, p := range k.paceChanges() {
		d.o.Count(PaceChanged)
		d.o.Log.WithFields(logrus.Fields{
			"Service":  service,
			"Endpoint": p.Engine,
			"Prefill":  p.PrefillRatio,
			"Decode":   p.DecodeRatio,
			"Samples":  p.Prefill.Samples + p.Decode.Samples,
			"AgeMs":    now.Sub(p.MeasuredAt()).Milliseconds(),
		}).Info("engine pace changed")
	}
}

// Paces returns what this instance's book has measured of single engines of a service.
func (d *Coordinator) Paces(service string) []tlplace.EnginePace {
	k := d.reservationsOf(service, nil)
	if k == nil {
		return nil
	}
	return k.paces()[1:]
}

func encodePace(now time.Time, p tlpace.Pace) *tlwire.Pace {
	if p.Samples == 0 {
		return nil
	}
	return &tlwire.Pace{
		Level:   p.Level,
		Spread:  p.Spread,
		Share:   p.Share,
		Load:    p.Load,
		Samples: p.Samples,
		Age:     max(now.Sub(p.At), 0),
	}
}

func decodePaces(now time.Time, list []tlwire.EnginePace) []tlplace.EnginePace {
	var paces []tlplace.EnginePace
	for _, p := range list[:min(len(list), maxSentPaces)] {
		paces = append(paces, tlplace.EnginePace{
			Engine:      p.Engine,
			Incarnation: p.Incarnation,
			Prefill:     decodePace(now, p.Prefill),
			Decode:      decodePace(now, p.Decode),
		})
	}
	return paces
}

func decodePace(now time.Time, p *tlwire.Pace) tlpace.Pace {
	if p == nil {
		return tlpace.Pace{}
	}
	return tlpace.Pace{
		Level:   p.Level,
		Spread:  p.Spread,
		Share:   p.Share,
		Load:    p.Load,
		Samples: p.Samples,
		At:      now.Add(-min(max(p.Age, 0), maxPaceAge)),
	}
}
