package tlprefix

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Index maps prefix-cache blocks to the engines that probably hold them.
type Index struct {
	blocks      map[uint64][]holder
	engines     []engineState
	matched     []float64
	freeNumbers []int
}

// holder is an engine that probably holds a block, and when that was last confirmed.
type holder struct {
	engine   int
	lastSeen time.Time
}

// engineState is the state of one engine's event stream and the observed ratio of cache hits to predicted ones.
type engineState struct {
	nextSequence uint64
	lastGap      time.Time
	blockCount   int
	hitRatio     float64
}

const (
	// maxBlocksPerEngine bounds the blocks remembered for one engine; at the limit the engine's blocks are forgotten.
	maxBlocksPerEngine = 16384
	// probabilityAfterGap is the probability that a block last seen before a gap in the events is still cached.
	probabilityAfterGap = 0.5
	// hitRatioSmoothing is the weight of a new observation in the moving average of the hit ratio.
	hitRatioSmoothing = 0.1
	minHitRatio       = 0.02
)

// New returns an index for the given number of engines, numbered from 0.
func New(engines int) *Index {
	i := &Index{blocks: make(map[uint64][]holder)}
	for range engines {
		i.AddEngine()
	}
	return i
}

// AddEngine adds an engine and returns its number, which may be that of a removed one.
func (i *Index) AddEngine() int {
	if n := len(i.freeNumbers) - 1; n >= 0 {
		e := i.freeNumbers[n]
		i.freeNumbers = i.freeNumbers[:n]
		return e
	}
	i.engines = append(i.engines, engineState{hitRatio: 1})
	i.matched = append(i.matched, 0)
	return len(i.engines) - 1
}

// Apply applies a batch of an engine's cache events; an event sequence that goes back means that the engine has restarted.
func (i *Index) Apply(now time.Time, engine int, c tlwire.CacheEvents) {
	s := &i.engines[engine]
	if c.Next < s.nextSequence {
		i.Forget(engine)
	} else if c.Oldest > s.nextSequence && s.nextSequence > 0 {
		s.lastGap = now
	}
	for _, e := range c.Events {
		if e.Sequence < s.nextSequence {
			continue
		}
		if e.Sequence > s.nextSequence && s.nextSequence > 0 {
			s.lastGap = now
		}
		s.nextSequence = e.Sequence + 1
		if e.Evicted {
			i.remove(e.Block, engine)
			continue
		}
		i.put(now, e.Block, engine)
	}
	s.nextSequence = c.Next
}

// RecordPrefill records that an engine has just prefilled a prompt with these blocks.
func (i *Index) RecordPrefill(now time.Time, engine int, blocks []uint64) {
	for _, b := range blocks {
		i.put(now, b, engine)
	}
}

// ObserveHits updates an engine's hit ratio from the blocks that a prefill found cached, out of those expected.
func (i *Index) ObserveHits(engine int, expected, found float64) {
	if expected < 1 {
		return
	}
	s := &i.engines[engine]
	s.hitRatio += hitRatioSmoothing * (min(found/expected, 1) - s.hitRatio)
	s.hitRatio = max(s.hitRatio, minHitRatio)
}

// Forget drops everything known about an engine.
func (i *Index) Forget(engine int) {
	if i.engines[engine].blockCount > 0 {
		for b := range i.blocks {
			i.remove(b, engine)
		}
	}
	i.engines[engine] = engineState{hitRatio: 1}
}

// RemoveEngine forgets an engine and frees its number for reuse.
func (i *Index) RemoveEngine(engine int) {
	i.Forget(engine)
	i.freeNumbers = append(i.freeNumbers, engine)
}

// Match returns, by engine number, the estimated number of leading blocks that each engine caches;
// the slice is valid until the next call.
func (i *Index) Match(blocks []uint64) []float64 {
	clear(i.matched)
	for n, b := range blocks {
		l := i.blocks[b]
		reached := false
		for _, h := range l {
			if i.matched[h.engine] >= float64(n) {
				i.matched[h.engine] = float64(n + 1)
				reached = true
			}
		}
		if !reached {
			break
		}
	}
	return i.discount(blocks)
}

// discount multiplies each match by the engine's hit ratio, and by probabilityAfterGap if its last block was not seen since the latest gap.
func (i *Index) discount(blocks []uint64) []float64 {
	for e, r := range i.matched {
		if r == 0 {
			continue
		}
		s := &i.engines[e]
		i.matched[e] = r * s.hitRatio
		if t, ok := i.lastSeen(blocks[int(r)-1], e); ok && !t.After(s.lastGap) {
			i.matched[e] *= probabilityAfterGap
		}
	}
	return i.matched
}

func (i *Index) lastSeen(block uint64, engine int) (time.Time, bool) {
	for _, h := range i.blocks[block] {
		if h.engine == engine {
			return h.lastSeen, true
		}
	}
	return time.Time{}, false
}

func (i *Index) put(now time.Time, block uint64, engine int) {
	l := i.blocks[block]
	for n := range l {
		if l[n].engine == engine {
			l[n].lastSeen = now
			return
		}
	}
	s := &i.engines[engine]
	if s.blockCount >= maxBlocksPerEngine {
		i.Forget(engine)
	}
	s.blockCount++
	i.blocks[block] = append(l, holder{engine, now})
}

func (i *Index) remove(block uint64, engine int) {
	l := i.blocks[block]
	for n := range l {
		if l[n].engine != engine {
			continue
		}
		l[n] = l[len(l)-1]
		l = l[:len(l)-1]
		i.engines[engine].blockCount--
		break
	}
	if len(l) == 0 {
		delete(i.blocks, block)
		return
	}
	i.blocks[block] = l
}
