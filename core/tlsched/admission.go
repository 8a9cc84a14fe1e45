package tlsched

import (
	"time"

	"trefoillanding/core/tlverdict"
)

const (
	defaultQueueLength = 200
	retryAfter         = time.Second
)

// admit says whether a request may wait, and refuses it otherwise.
func (s *Scheduler) admit(r *request) bool {
	if len(s.waiting) >= s.bounds.QueueLength {
		s.refuse(r, RefusedQueueFull, tlverdict.QueueFull, retryAfter)
		return false
	}
	return true
}
