package tlledger

import (
	"context"
	"sync/atomic"
)

// The stages of an append; it can be withdrawn only while it is queued.
const (
	stageQueued int32 = iota
	stageSent
	stageWithdrawn
)

// pendingAppend is one record that is to be appended to the log.
type pendingAppend struct {
	record []byte
	ctx    context.Context
	stage  atomic.Int32
	done   chan appendResult
}

// appendResult is the result of appending one record.
type appendResult struct {
	offset uint64
	err    error
}

// markSent marks the record as sent and reports true; if its caller has gone, it
// withdraws the record instead.
func (p *pendingAppend) markSent() bool {
	if p.ctx.Err() != nil {
		p.withdraw()
		return false
	}
	return p.stage.CompareAndSwap(stageQueued, stageSent)
}

// requeue allows the record to be withdrawn again, since nothing was appended.
func (p *pendingAppend) requeue() {
	p.stage.CompareAndSwap(stageSent, stageQueued)
}

// withdraw withdraws a queued record and reports whether it is certain never to be sent.
func (p *pendingAppend) withdraw() bool {
	return p.stage.CompareAndSwap(stageQueued, stageWithdrawn) || p.stage.Load() == stageWithdrawn
}
