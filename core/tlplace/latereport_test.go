package tlplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Reports and questions of an owner overtake each other. One that told of a failed
// attempt after the next had got its booking released that one, so that its engine
// was given more than it had memory for, refused the next request, and so on.
func TestLateReportOfAnAttemptLeavesTheNextOnesBooking(t *testing.T) {
	cases := []struct {
		name   string
		report func(b *Book, now time.Time)
	}{
		{"1 the decode engine was full", func(b *Book, now time.Time) { b.EngineFull(now, "1", "d0") }},
		{"2 the decode engine broke the connection", func(b *Book, now time.Time) { b.Failed(now, "1", "d0", ConnectionBroke) }},
		{"3 the decode engine did not answer", func(b *Book, now time.Time) { b.Failed(now, "1", "d0", Unresponsive) }},
		{"4 the prefill engine failed", func(b *Book, now time.Time) { b.PrefillFailed(now, "1", "p0", Unresponsive) }},
		{"5 the prefill engine has read the prompt", func(b *Book, now time.Time) { b.Prefilled(now, "1", "p0") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBook(2, 2)
			first := request("1", 4000, 0)
			first.Avoid = []string{"p1", "d1"}
			submitOne(t, b, 0, first)
			next := request("1", 4000, 0)
			next.Avoid = []string{"p0", "d0"}
			submitOne(t, b, 10*time.Millisecond, next)
			c.report(b, at(20*time.Millisecond))
			k := b.bookings["1"]
			require.NotNil(t, k)
			assert.Equal(t, "d1", k.Decode)
			assert.Equal(t, "p1", k.Prefill)
			assert.Equal(t, k.Tokens, b.engines["d1"].booked)
			assert.Equal(t, 1, b.engines["p1"].prefills)
			assert.Zero(t, b.engines["d0"].booked)
		})
	}
}
