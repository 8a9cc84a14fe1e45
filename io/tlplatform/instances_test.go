package tlplatform

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestInstancesAreSentAgainOnlyWhenChanged(t *testing.T) {
	cases := []struct {
		name          string
		tags          []string
		isNew         []bool
		unconditional int
	}{
		{"1 same tag", []string{`"1"`, `"1"`, `"1"`}, []bool{true, false, false}, 1},
		{"2 changed", []string{`"1"`, `"2"`, `"2"`}, []bool{true, true, false}, 1},
		{"3 no tag", []string{"", "", ""}, []bool{true, true, true}, 3},
		{"4 tag no longer sent", []string{`"1"`, "", ""}, []bool{true, true, true}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, unconditional := 0, 0
			client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				tag := c.tags[n]
				sent := r.Header.Get("If-None-Match")
				if sent == "" {
					unconditional++
				}
				if tag != "" {
					w.Header().Set("ETag", tag)
				}
				if tag != "" && sent == tag {
					w.WriteHeader(http.StatusNotModified)
					return
				}
				_, _ = w.Write([]byte(`{"Version":1,"Instances":[{"Name":"a","Address":"127.0.0.1:1"}]}`))
			})
			for ; n < len(c.tags); n++ {
				l, isNew, err := client.Instances(context.Background())
				require.NoError(t, err)
				assert.Equal(t, c.isNew[n], isNew)
				require.Len(t, l.Instances, 1)
				assert.Equal(t, "a", l.Instances[0].Name)
			}
			assert.Equal(t, c.unconditional, unconditional)
		})
	}
}
