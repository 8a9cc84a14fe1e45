package tlplace

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// When the home of a large fleet is lost, each instance decides by its own book for a
// while. The books are equal where instances have few requests of their own, and the
// engines that the first of them chooses must not get all requests.
func TestInstancesWithoutAHomeSpreadOverEngines(t *testing.T) {
	for _, instances := range []int{7, 95, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			prefill, decode := map[string]int{}, map[string]int{}
			const readers, decoders = 15, 60
			for n := range instances {
				b := New(DefaultOptions(10_000, 64, 1), rand.New(rand.NewPCG(1, uint64(n))))
				b.SetEngines(start, engines(readers, decoders))
				b.MergeRates(testRates(1.0/55_000, 0.005))
				d := submitOne(t, b, 0, request("1", 4000, 0))
				prefill[d.Prefill]++
				decode[d.Decode]++
			}
			most := func(m map[string]int) int {
				most := 0
				for _, n := range m {
					most = max(most, n)
				}
				return most
			}
			assert.LessOrEqual(t, most(prefill), 3+3*instances/readers)
			assert.LessOrEqual(t, most(decode), 3+3*instances/decoders)
		})
	}
}
