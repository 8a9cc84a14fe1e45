package tlplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// inTwoDataCentres returns a book with prefill engines and one decode engine in each of two data centres.
func inTwoDataCentres() *Book {
	b := newBook(4, 2)
	list := engines(4, 2)
	for k := range list {
		list[k].DataCentre = "x"
	}
	list[len(list)-1].DataCentre = "y"
	b.SetEngines(start, list)
	return b
}

func TestWhileAnswersStallBetweenDataCentresEnginesOfTheOwnersGoFirst(t *testing.T) {
	cases := []struct {
		name  string
		steps func(b *Book, id string)
		asked time.Duration
		want  string
	}{
		{"none stalled", func(*Book, string) {}, time.Second, "d0"},
		{"answers from elsewhere stalled", func(b *Book, id string) { b.Stalled(start, id) }, time.Second, "d1"},
		{"one that stalled twice counts once", func(b *Book, _ string) { b.Stalled(start, "0"); b.Stalled(start, "0") }, time.Second, "d0"},
		{"long ago", func(b *Book, id string) { b.Stalled(start, id) }, time.Minute, "d0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := inTwoDataCentres()
			for n := range 2 {
				r := request(fmt.Sprint(n), 1000, 0)
				r.DataCentre = "y"
				require.Equal(t, "d0", one(t, b, 0, r).Decode, "near the prefill engine")
				c.steps(b, r.ID)
			}
			r := request("next", 1000, c.asked)
			r.DataCentre = "y"
			assert.Equal(t, c.want, one(t, b, c.asked, r).Decode)
		})
	}
}

func TestWhereAnswersStallEverywhereNoDataCentreGoesFirst(t *testing.T) {
	b := inTwoDataCentres()
	for n, dataCentre := range []string{"y", "y", "x", "x"} {
		r := request(fmt.Sprint(n), 1000, 0)
		r.DataCentre = dataCentre
		require.Equal(t, "d0", one(t, b, 0, r).Decode)
		b.Prefilled(start, r.ID)
		b.Stalled(start, r.ID)
	}
	r := request("next", 1000, 0)
	r.DataCentre = "y"
	assert.Equal(t, "d0", one(t, b, 0, r).Decode)
}
