package tlplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlrate"
)

// The first plan of a service moves its whole surplus at once. A new home that took
// itself for the first moved half of the prefill engines as a burst began.
func TestOnlyTheFirstHomeOfAServicePlansItsFirstMove(t *testing.T) {
	measured := newUnmeasuredBook(2, 4)
	measured.measureRequest(&Request{Prompt: 1000, Output: 100})
	cases := []struct {
		name    string
		prepare func(b *Book)
		isFirst bool
	}{
		{"1 no other home has decided", func(b *Book) { b.Submit(start, request("1", 1000, 0)) }, true},
		{"2 owners bring what they measured with an earlier one", func(b *Book) { b.MergeRates(measured.Rates()) }, false},
		{"3 owners that have measured nothing", func(b *Book) { b.MergeRates(tlrate.Rates{}) }, true},
		{"4 this instance has followed an earlier one", func(b *Book) {
			b.Follow(start, request("1", 1000, 0), Decision{Decode: "d0", Tokens: 1008})
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newUnmeasuredBook(2, 4)
			c.prepare(b)
			assert.Equal(t, c.isFirst, b.RoleState(at(time.Second)).IsFirst)
		})
	}
}
