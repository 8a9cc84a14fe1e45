package tloperator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

func TestCallsRequireTheOperatorToken(t *testing.T) {
	const token = "a token that only tests use"
	cases := []struct {
		name, set, sent string
		status          int
	}{
		{"no token is set", "", "", http.StatusOK},
		{"right", token, "Bearer " + token, http.StatusOK},
		{"missing", token, "", http.StatusForbidden},
		{"wrong", token, "Bearer another", http.StatusForbidden},
		{"prefix of the token", token, "Bearer a token", http.StatusForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := New(Deps{
				Token:  c.set,
				Status: func() tlwire.Status { return tlwire.Status{} },
				Refuse: func(w http.ResponseWriter, err error) { w.WriteHeader(tlverdict.Of(err).Status) },
			})
			r := httptest.NewRequest(http.MethodGet, "/v1/operator/status", nil)
			r.Header.Set("Authorization", c.sent)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			assert.Equal(t, c.status, w.Code)
		})
	}
}
