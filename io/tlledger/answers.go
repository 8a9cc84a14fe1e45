package tlledger

import "trefoillanding/core/tlwire"

const (
	cacheBytes = 1 << 20
	// answerBytes is what an answer takes besides its body.
	answerBytes = 512
)

// answers keeps the latest stored answers of a stream by their offsets.
type answers struct {
	byOffset map[uint64]tlwire.StoredAnswer
	order    []uint64
	size     int
}

func newAnswers() *answers {
	return &answers{byOffset: map[uint64]tlwire.StoredAnswer{}}
}

func (a *answers) put(offset uint64, v tlwire.StoredAnswer) {
	a.byOffset[offset] = v
	a.order = append(a.order, offset)
	a.size += len(v.Body) + answerBytes
	for a.size > cacheBytes && len(a.order) > 1 {
		a.size -= len(a.byOffset[a.order[0]].Body) + answerBytes
		delete(a.byOffset, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) get(offset uint64) (tlwire.StoredAnswer, bool) {
	v, ok := a.byOffset[offset]
	return v, ok
}
