package tlledger

import (
	"context"
	"sync/atomic"
)

// The stages of an append, which tell whether it can still be withdrawn.
const (
	stageQueued int32 = iota
	stageSent
	stageWithdrawn
)

// pending is one record on its way into the log.
type pending struct {
	record []byte
	ctx    context.Context
	stage  atomic.Int32
	done   chan appended
}

// appended is what became of a record.
type appended struct {
	offset uint64
	err    error
}

// send takes the record into a batch unless its caller has gone.
func (p *pending) send() bool {
	if p.ctx.Err() != nil {
		p.withdraw()
		return false
	}
	return p.stage.CompareAndSwap(stageQueued, stageSent)
}

// requeue lets the record be withdrawn again, since nothing was appended.
func (p *pending) requeue() {
	p.stage.CompareAndSwap(stageSent, stageQueued)
}

// withdraw says whether the record will certainly never be sent.
func (p *pending) withdraw() bool {
	return p.stage.CompareAndSwap(stageQueued, stageWithdrawn) || p.stage.Load() == stageWithdrawn
}
