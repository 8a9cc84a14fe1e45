package tlselect

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func BenchmarkRank(b *testing.B) {
	for _, size := range []int{7, 50, 760} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var all []Candidate
			for n := range size {
				all = append(all, Candidate{Name: fmt.Sprint("instance-", n), DataCentre: fmt.Sprint("centre-", n%10), InFlight: n % 7})
			}
			random := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				Rank(all, "centre-1", random)
			}
		})
	}
}
