package tlplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTwoDataCentreBook returns a book of four prefill and two decode engines;
// the last decode engine is in data centre y, all others in x.
func newTwoDataCentreBook() *Book {
	b := newBook(4, 2)
	list := engines(4, 2)
	for k := range list {
		list[k].DataCentre = "x"
	}
	list[len(list)-1].DataCentre = "y"
	b.SetEngines(start, list)
	return b
}

func TestOwnersDataCentreIsPreferredWhileAnswersStallBetweenDataCentres(t *testing.T) {
	cases := []struct {
		name  string
		steps func(b *Book, id string)
		asked time.Duration
		want  string
	}{
		{"no answer stalled", func(*Book, string) {}, time.Second, "d0"},
		{"answers from the other data centre stalled", func(b *Book, id string) { b.Stalled(start, id) }, time.Second, "d1"},
		{"an answer that stalled twice counts once", func(b *Book, _ string) { b.Stalled(start, "0"); b.Stalled(start, "0") }, time.Second, "d0"},
		{"the answers stalled long ago", func(b *Book, id string) { b.Stalled(start, id) }, time.Minute, "d0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTwoDataCentreBook()
			for n := range 2 {
				r := request(fmt.Sprint(n), 1000, 0)
				r.DataCentre = "y"
				require.Equal(t, "d0", submitOne(t, b, 0, r).Decode, "in the data centre of the prefill engines")
				c.steps(b, r.ID)
			}
			r := request("next", 1000, c.asked)
			r.DataCentre = "y"
			assert.Equal(t, c.want, submitOne(t, b, c.asked, r).Decode)
		})
	}
}

func TestNoDataCentreIsPreferredWhileAnswersStallEverywhere(t *testing.T) {
	b := newTwoDataCentreBook()
	for n, dataCentre := range []string{"y", "y", "x", "x"} {
		r := request(fmt.Sprint(n), 1000, 0)
		r.DataCentre = dataCentre
		require.Equal(t, "d0", submitOne(t, b, 0, r).Decode)
		b.read(start, r.ID)
		b.Stalled(start, r.ID)
	}
	r := request("next", 1000, 0)
	r.DataCentre = "y"
	assert.Equal(t, "d0", submitOne(t, b, 0, r).Decode)
}
