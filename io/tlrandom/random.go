package tlrandom

import "math/rand/v2"

// New returns a source seeded by the runtime's generator; it is not safe for concurrent use.
func New() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
