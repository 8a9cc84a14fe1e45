package tlplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestAnEngineThatLosesAnswersGetsARequestOnlyWhereNoOtherHasRoom(t *testing.T) {
	cases := []struct {
		name string
		lose func(b *Book)
	}{
		{"the engine was silent twice", func(b *Book) { b.EngineSilent("d0"); b.EngineSilent("d0") }},
		{"the connection broke twice, and the backoff is over", func(b *Book) {
			b.Failed(start, "none", "d0", ConnectionBroke)
			b.Failed(start, "none", "d0", ConnectionBroke)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBook(4, 2)
			c.lose(b)
			assert.Equal(t, "d1", submitOne(t, b, 5*time.Second, request("1", 4000, 5*time.Second)).Decode)
			assert.Equal(t, "d1", submitOne(t, b, 5*time.Second, request("2", 4000, 5*time.Second)).Decode)
			assert.Equal(t, "d0", submitOne(t, b, 5*time.Second, request("3", 4000, 5*time.Second)).Decode)
		})
	}
}

func TestRiskyEngineRecoversByServing(t *testing.T) {
	b := newBook(4, 2)
	b.EngineSilent("d0")
	b.EngineSilent("d0")
	for n := range 8 {
		id := fmt.Sprint(n)
		r := request(id, 4000, 0)
		r.Avoid = []string{"d1"}
		submitOne(t, b, 0, r)
		b.Served(start, id)
	}
	chosen := map[string]int{}
	for n := range 20 {
		id := fmt.Sprint("last", n)
		chosen[submitOne(t, b, 0, request(id, 4000, 0)).Decode]++
		b.Served(start, id)
	}
	assert.Positive(t, chosen["d0"], "a risky engine gets none while another has room")
	assert.Positive(t, chosen["d1"])
}
