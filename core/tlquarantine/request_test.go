package tlquarantine

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPartsOfARequestAreThoseOfItsRepetitions(t *testing.T) {
	r := Request{Method: "POST", Host: "h", Path: "/p/", Query: "q=1", Authorization: "a", Body: []byte("b")}
	cases := []struct {
		name   string
		change func(*Request)
		// general and exact say whether the first and the last part stay.
		general, exact bool
	}{
		{"1 the same", func(*Request) {}, true, true},
		{"2 another query", func(r *Request) { r.Query = "q=2" }, true, false},
		{"3 another authorization", func(r *Request) { r.Authorization = "" }, true, false},
		{"4 another body", func(r *Request) { r.Body = []byte("c") }, false, false},
		{"5 another path", func(r *Request) { r.Path = "/p" }, false, false},
		{"6 another host", func(r *Request) { r.Host = "g" }, false, false},
		{"7 another prompt", func(r *Request) { r.Prompt = "a:1" }, false, false},
		{"8 another method", func(r *Request) { r.Method = "PUT" }, false, false},
		{"9 the same bytes, divided otherwise", func(r *Request) { r.Host, r.Path = "h/", "p/" }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := r
			c.change(&o)
			a, b := r.Parts(), o.Parts()
			assert.Len(t, b, 2)
			assert.Equal(t, c.general, a[0] == b[0])
			assert.Equal(t, c.exact, a[1] == b[1])
			assert.True(t, isRequest(b[0]) && isRequest(b[1]))
			assert.NotEqual(t, b[0], b[1])
		})
	}
	assert.False(t, isRequest("5c1e07a2"))
}

// BenchmarkRequestParts measures what each request pays for being told from others.
func BenchmarkRequestParts(b *testing.B) {
	r := Request{Method: "POST", Host: "h.example", Path: "/p/x", Prompt: "5c1e07a2:800,91bd3f06:410", Body: make([]byte, 8<<10)}
	for b.Loop() {
		r.Parts()
	}
}
