package tlworkload

import (
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
)

// Request is one request as its caller sends it, with the answer's true length.
type Request struct {
	Name         string
	At           time.Duration
	Organisation int
	Instance     int
	Prompt       int
	Output       int
	MaxTokens    int
	Blocks       []uint64
	// GivesUpAfter is 0 for a caller that waits for the whole answer.
	GivesUpAfter time.Duration
}

// KVCacheBytes returns the size of the prompt's KV cache.
func (r *Request) KVCacheBytes(m tlwire.EngineModel) int64 {
	return int64(r.Prompt) * m.BytesPerToken
}

// UnloadedLatency returns how long prefill and transfer take on idle engines without a prefix cache.
func (r *Request) UnloadedLatency(m tlwire.EngineModel) time.Duration {
	move := float64(r.KVCacheBytes(m)) / float64(m.LinkBytesPerSecond)
	return tlmodel.PrefillTime(m, r.Prompt) + time.Duration(move*float64(time.Second))
}

// FirstTokenTarget returns the longest wait for the first token of a good request: the
// plain target, or the idle time and as much again, up to the plain target.
func (r *Request) FirstTokenTarget(m tlwire.EngineModel, plain time.Duration) time.Duration {
	idle := r.UnloadedLatency(m)
	return max(plain, idle+min(idle, plain))
}
