package tlrelay

import "trefoillanding/core/tlverdict"

// refusal is the error of a pool that refused a request, which may then go to another pool.
type refusal struct {
	verdict *tlverdict.Error
}

// Error returns the pool's error text.
func (r *refusal) Error() string {
	return r.verdict.Error()
}
