package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/platform"
	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// putQuota writes a configuration in which an organisation may send a burst of requests
// or tokens, and next to nothing more.
func putQuota(w *testCluster, version uint64, name, unit string, burst float64, instances ...*Instance) {
	c := tlstand.Config(version)
	tlstand.AddOrganisation(&c, tlform.Tenant{
		Name: name, ApiKeys: []string{testKey}, Unit: unit, UncachedTokens: 200, RatePerS: 1e-3, Burst: burst,
	})
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, c)
	for _, i := range instances {
		w.eventually(func() bool { return i.version() == version })
	}
}

// Guards against quotas that each instance counts by itself, and refusals that are not
// true or tell no time to return.
func TestOrganisationIsHeldToItsQuotaOverAllInstances(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e")
	a, b := w.startInstance("a"), w.startInstance("b")
	for _, i := range []*Instance{a, b} {
		w.eventually(func() bool { return len(i.gossip.Live()) == 2 })
	}
	cases := []struct {
		unit     string
		burst    float64
		admitted int
	}{
		{"requests", 48, 6},
		{"tokens", 9600, 6},
	}
	for n, c := range cases {
		t.Run(c.unit, func(t *testing.T) {
			putQuota(w, uint64(2+n), "organisation-"+c.unit, c.unit, c.burst, a, b)
			served := 0
			for k := range 12 {
				i := []*Instance{a, b}[k%2]
				q := onceCall(fmt.Sprint(c.unit, k))
				q.Key = testKey
				r := w.call(i, q)
				if r.status == http.StatusOK {
					served++
					continue
				}
				require.Equal(t, http.StatusTooManyRequests, r.status)
				assert.Equal(t, "NotRun", r.header.Get("Trefoil-Verdict"))
				wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				assert.Positive(t, wait)
				assert.Zero(t, runs(q.ID, e))
			}
			assert.Equal(t, c.admitted, served)
		})
	}
}

// Guards against quotas that are used up by requests which were refused for another reason.
func TestRequestThatDidNotRunCostsNoQuota(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e")
	e.Intercept = func(rw http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		tlstand.RespondNotRun(rw)
		return true
	}
	i := w.startInstance("a")
	putQuota(w, 2, testOrganisation, "requests", 2, i)
	for n := range 5 {
		c := onceCall(fmt.Sprint("id-", n))
		c.Key = testKey
		assert.Equal(t, http.StatusServiceUnavailable, w.call(i, c).status, n)
	}
}
