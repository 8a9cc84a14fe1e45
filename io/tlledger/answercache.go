package tlledger

import "trefoillanding/core/tlwire"

const (
	maxAnswerCacheBytes = 1 << 20
	// answerOverheadBytes is the memory that an answer takes besides its body.
	answerOverheadBytes = 512
)

// answerCache holds the latest stored answers of a stream by their offsets.
type answerCache struct {
	byOffset map[uint64]tlwire.StoredAnswer
	order    []uint64
	size     int
}

func newAnswerCache() *answerCache {
	return &answerCache{byOffset: map[uint64]tlwire.StoredAnswer{}}
}

func (a *answerCache) put(offset uint64, v tlwire.StoredAnswer) {
	a.byOffset[offset] = v
	a.order = append(a.order, offset)
	a.size += len(v.Body) + answerOverheadBytes
	for a.size > maxAnswerCacheBytes && len(a.order) > 1 {
		a.size -= len(a.byOffset[a.order[0]].Body) + answerOverheadBytes
		delete(a.byOffset, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answerCache) get(offset uint64) (tlwire.StoredAnswer, bool) {
	v, ok := a.byOffset[offset]
	return v, ok
}
