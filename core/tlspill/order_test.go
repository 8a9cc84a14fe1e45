package tlspill

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

func TestOrderListsEveryPoolAndRepeatsTheFirst(t *testing.T) {
	pool := func(wait time.Duration, local bool) Candidate {
		return Candidate{Summary: tlwire.PoolSummary{Wait: wait, PiecesTotal: 10}, Local: local}
	}
	cases := []struct {
		name string
		in   []Candidate
		want []int
	}{
		{"no pool", nil, []int{}},
		{"one pool", []Candidate{pool(0, false)}, []int{0}},
		{"local pool first among equal waits", []Candidate{pool(0, false), pool(0, true), pool(0, false)}, []int{1, 0, 2, 1}},
		{"local pool with a wait within the allowance", []Candidate{pool(0, false), pool(localWaitAllowance, true)}, []int{1, 0, 1}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			for seed := range uint64(20) {
				r := rand.New(rand.NewPCG(seed, 0))
				assert.Equal(t, k.want, Order(k.in, r))
			}
		})
	}
}
