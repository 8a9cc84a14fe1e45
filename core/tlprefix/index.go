package tlprefix

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Index maps blocks to the engines that probably hold them.
type Index struct {
	blocks  map[uint64][]holder
	engines []source
	run     []float64
	unused  []int
}

// holder is one engine's copy of a block.
type holder struct {
	engine int
	seen   time.Time
}

// source is what is known of one engine's events.
type source struct {
	next    uint64
	doubted time.Time
	count   int
	trust   float64
}

const (
	// mostBlocks bounds what is remembered of one engine.
	mostBlocks = 16384
	// doubt is the chance that a block seen before a gap is still there.
	doubt = 0.5
	// trustGain is how fast the trust in an engine's blocks follows what its prefills found.
	trustGain = 0.1
	leastRuns = 0.02
)

// New returns an index for so many engines, which are told apart by number.
func New(engines int) *Index {
	i := &Index{blocks: make(map[uint64][]holder)}
	for range engines {
		i.AddEngine()
	}
	return i
}

// AddEngine makes room for one more engine and returns its number.
func (i *Index) AddEngine() int {
	if n := len(i.unused) - 1; n >= 0 {
		e := i.unused[n]
		i.unused = i.unused[:n]
		return e
	}
	i.engines = append(i.engines, source{trust: 1})
	i.run = append(i.run, 0)
	return len(i.engines) - 1
}

// Apply takes in a run of events of an engine.
func (i *Index) Apply(now time.Time, engine int, c tlwire.CacheEvents) {
	s := &i.engines[engine]
	if c.Next < s.next {
		i.Forget(engine)
	} else if c.Oldest > s.next && s.next > 0 {
		s.doubted = now
	}
	for _, e := range c.Events {
		if e.Sequence < s.next {
			continue
		}
		if e.Sequence > s.next && s.next > 0 {
			s.doubted = now
		}
		s.next = e.Sequence + 1
		if e.Evicted {
			i.remove(e.Block, engine)
			continue
		}
		i.put(now, e.Block, engine)
	}
	s.next = c.Next
}

// Learn notes that an engine has just prefilled a prompt with these blocks.
func (i *Index) Learn(now time.Time, engine int, blocks []uint64) {
	for _, b := range blocks {
		i.put(now, b, engine)
	}
}

// Found corrects the trust in an engine by what a prefill found of the blocks expected.
func (i *Index) Found(engine int, expected, found float64) {
	if expected < 1 {
		return
	}
	s := &i.engines[engine]
	s.trust += trustGain * (min(found/expected, 1) - s.trust)
	s.trust = max(s.trust, leastRuns)
}

// Forget drops all that is known of an engine.
func (i *Index) Forget(engine int) {
	if i.engines[engine].count > 0 {
		for b := range i.blocks {
			i.remove(b, engine)
		}
	}
	i.engines[engine] = source{trust: 1}
}

// Remove forgets an engine, whose number may be given to another one.
func (i *Index) Remove(engine int) {
	i.Forget(engine)
	i.unused = append(i.unused, engine)
}

// Match returns, for each engine, how many leading blocks it probably holds;
// the slice is good until the next call.
func (i *Index) Match(blocks []uint64) []float64 {
	clear(i.run)
	for n, b := range blocks {
		l := i.blocks[b]
		reached := false
		for _, h := range l {
			if i.run[h.engine] >= float64(n) {
				i.run[h.engine] = float64(n + 1)
				reached = true
			}
		}
		if !reached {
			break
		}
	}
	return i.weighed(blocks)
}

// weighed lowers each run by the trust in its engine and by gaps since its last block was seen.
func (i *Index) weighed(blocks []uint64) []float64 {
	for e, r := range i.run {
		if r == 0 {
			continue
		}
		s := &i.engines[e]
		i.run[e] = r * s.trust
		if t, ok := i.seen(blocks[int(r)-1], e); ok && !t.After(s.doubted) {
			i.run[e] *= doubt
		}
	}
	return i.run
}

func (i *Index) seen(block uint64, engine int) (time.Time, bool) {
	for _, h := range i.blocks[block] {
		if h.engine == engine {
			return h.seen, true
		}
	}
	return time.Time{}, false
}

func (i *Index) put(now time.Time, block uint64, engine int) {
	l := i.blocks[block]
	for n := range l {
		if l[n].engine == engine {
			l[n].seen = now
			return
		}
	}
	s := &i.engines[engine]
	if s.count >= mostBlocks {
		i.Forget(engine)
	}
	s.count++
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
		i.engines[engine].count--
		break
	}
	if len(l) == 0 {
		delete(i.blocks, block)
		return
	}
	i.blocks[block] = l
}
