package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/platform/tlstand"
)

// Guards against bytes of a faulty endpoint that a caller gets as the answer to its
// request, or as the promise that the request has not run.
func TestAnswerThatIsNotProvedReachesNoCaller(t *testing.T) {
	cases := []struct {
		name string
		call tlstand.Call
		// set are the headers that the answer has besides.
		set    []func(http.Header)
		status int
		// isServed says that another endpoint answers the caller.
		isServed bool
	}{
		{"1 success of a payment", onceCall("id-1"), nil, http.StatusOK, false},
		{"2 refusal of a payment", onceCall("id-1"), []func(http.Header){notRun}, http.StatusServiceUnavailable, false},
		{"3 failure of a payment", onceCall("id-1"), nil, http.StatusServiceUnavailable, false},
		{"4 misdirected payment", onceCall("id-1"), nil, http.StatusMisdirectedRequest, false},
		{"5 success of a look-up", repeatableCall("id-1"), nil, http.StatusOK, true},
		{"6 refusal of a look-up", repeatableCall("id-1"), []func(http.Header){notRun}, http.StatusServiceUnavailable, true},
		{"7 head of a stream", plainStreamCall("id-1"), nil, http.StatusOK, false},
		{"8 refusal of a stream", plainStreamCall("id-1"), []func(http.Header){notRun}, http.StatusServiceUnavailable, false},
		{"9 head of a stream that may go on", resumableCall("id-1"), nil, http.StatusOK, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			all := []*tlstand.Endpoint{w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2"), w.startEngine("d1", "decode"), w.startEngine("d2", "decode")}
			answer := onFirstArrival(func(rw http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
				for _, e := range all {
					e.MarkRan(a)
				}
				tlstand.ClearProof(rw.Header())
				for _, f := range append(c.set, leaving, retryAfter("60")) {
					f(rw.Header())
				}
				rw.WriteHeader(c.status)
				return true
			}, all...)
			for _, e := range all {
				e.Intercept = answer
			}
			i := w.startInstance("a")
			w.eventually(func() bool {
				return len(i.directory.Endpoints(tlstand.PlainService)) == 2 && len(i.directory.Endpoints(tlstand.ModelService)) == 2
			})
			a := w.call(i, c.call)
			assert.EqualValues(t, 1, i.counters.endpoints.Value(answerUnproved))
			assert.Zero(t, i.counters.endpoints.Value(endpointLeaving), "what it says of the endpoint counts neither")
			assert.Zero(t, i.counters.endpoints.Value(endpointResting))
			if c.isServed {
				assert.Equal(t, http.StatusOK, a.status, a.body)
				assert.NotEmpty(t, a.seal)
				return
			}
			assert.Equal(t, http.StatusBadGateway, a.status, a.body)
			assert.Equal(t, "MayHaveRun", a.header.Get("Trefoil-Verdict"))
			assert.Equal(t, 1, runs("id-1", all...))
		})
	}
}
