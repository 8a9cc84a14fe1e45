package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlpace"
)

// EnginePace is the measured speed of an engine, or of all engines together.
type EnginePace struct {
	// Engine and Incarnation identify the engine; Engine is empty for all together.
	Engine      string
	Incarnation int64
	// Prefill and Decode are the paces at which it reads prompts and generates answers.
	Prefill, Decode tlpace.Pace
	// PrefillRatio and DecodeRatio are how many times longer than usual it takes; 1 where
	// it does not differ measurably.
	PrefillRatio, DecodeRatio float64
}

// MeasuredAt returns when the engine was last measured.
func (p *EnginePace) MeasuredAt() time.Time {
	return later(p.Prefill.At, p.Decode.At)
}

func (p *EnginePace) isMeasured() bool {
	return p.Prefill.Samples+p.Decode.Samples > 0
}

// Paces returns the measured speed of all engines together, and of each that was measured.
func (b *Book) Paces() []EnginePace {
	all := EnginePace{Prefill: b.paces.reading.Typical, Decode: b.paces.decoding.Typical, PrefillRatio: 1, DecodeRatio: 1}
	list := []EnginePace{all}
	for _, e := range b.order {
		if p := e.pace(); p.isMeasured() {
			list = append(list, p)
		}
	}
	return list
}

// MergePaces takes in what another instance has measured; what it says of an engine that
// is not listed, or of another incarnation, is ignored.
func (b *Book) MergePaces(now time.Time, list []EnginePace) {
	for i := range list {
		p := &list[i]
		if p.Engine == "" {
			b.paces.reading.Typical.Merge(p.Prefill)
			b.paces.decoding.Typical.Merge(p.Decode)
			continue
		}
		if e := b.engines[p.Engine]; e != nil && e.Incarnation == p.Incarnation {
			e.reading.Merge(p.Prefill)
			e.decoding.Merge(p.Decode)
		}
	}
	b.paces.updated = time.Time{}
	b.updatePaces(now)
}

// workSlowness returns how many times longer than usual an engine takes for the work of its role.
func (e *engine) workSlowness() float64 {
	if e.Role == tlendpoint.Prefill {
		return e.slowness
	}
	return e.decodeSlowness
}

// notedChange is the ratio by which an engine's slowness has to change to be reported.
const notedChange = 1.4

// PaceChanges returns the engines whose slowness at the work of their role has changed much
// since they were returned last.
func (b *Book) PaceChanges() []EnginePace {
	var list []EnginePace
	for _, e := range b.order {
		if ratio := e.workSlowness() / e.notedSlowness; max(ratio, 1/ratio) >= notedChange {
			e.notedSlowness = e.workSlowness()
			list = append(list, e.pace())
		}
	}
	return list
}

func (e *engine) pace() EnginePace {
	return EnginePace{e.ID, e.Incarnation, e.reading, e.decoding, e.slowness, e.decodeSlowness}
}
