package tlrelay

import "trefoillanding/core/tlverdict"

// refusal is a pool's refusal, after which the request may go to another pool.
type refusal struct {
	verdict *tlverdict.Error
}

// Error returns the pool's reason.
func (r *refusal) Error() string {
	return r.verdict.Error()
}
