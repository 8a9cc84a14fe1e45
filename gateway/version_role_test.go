package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

// roleChangeTime is how long the engines of these tests take to change their role, which is
// within the time that callers wait for an event, or not.
const (
	shortRoleChange = time.Second
	longRoleChange  = 5 * time.Second
)

// newRoleFleet starts instances before engines that change their roles by order: two prefill
// and two decode engines of v1, and four decode engines of v2 unless v1 is the only version.
func newRoleFleet(t testing.TB, instances int, takes time.Duration, isOnly bool) *versionFleet {
	f := &versionFleet{w: newTestCluster(t), byVersion: map[string][]*tlstand.Endpoint{}}
	c := tlstand.Config(1)
	c.Services[1].Engine.SwapS = takes.Seconds()
	for n := range c.Routes {
		c.Routes[n].TimeoutMs = 20_000
	}
	f.w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, c)
	f.startRoles("v1", "prefill", takes, 2)
	f.startRoles("v1", "decode", takes, 2)
	if !isOnly {
		f.startRoles("v2", "decode", takes, 4)
	}
	f.startInstances(instances)
	return f
}

// startRoles starts engines of a version that change their role by order.
func (f *versionFleet) startRoles(version, phase string, takes time.Duration, n int) {
	for k := range n {
		e := f.start(version, phase, fmt.Sprint(version, "-", phase[:1], k+1))
		e.ChangeRoles(takes, func() {
			f.w.store.PutJSON(platform.TopicEndpoints, e.ID, e.Entry(tlstand.ModelService, "ready"))
		})
	}
}

// beginAt begins streams until so many are of a version.
func (f *versionFleet) beginAt(version string, n int) []*begunStream {
	var list []*begunStream
	for k := 0; len(list) < n && k < 20*n; k++ {
		if s := f.begin(f.instances[k%len(f.instances)]); s.version == version {
			list = append(list, s)
		}
	}
	f.w.eventually(func() bool { return len(list) == n })
	return list
}

// roles returns the phases of the engines of a version that are given by the first letter of
// their phase at the start.
func (f *versionFleet) roles(version, began string) map[string]int {
	roles := map[string]int{}
	for _, e := range f.byVersion[version] {
		if e.ID[len(version)+1:][:1] == began {
			roles[e.Phase()]++
		}
	}
	return roles
}

// finish reads a stream to its end, and takes it up where it breaks, as a caller does that
// has a number of tries and honours Retry-After; it reports whether the stream is complete.
func (f *versionFleet) finish(s *begunStream, tries int) bool {
	if s.readAll(slowEvents) {
		return true
	}
	for n := range tries {
		c := resumableCall(fmt.Sprint("id-", f.calls.Add(1)))
		c.Host, c.Deadline, c.Resumes, c.ResumeAfter = tlstand.Host, 2*testTimeout, s.id, s.last
		a, err := f.w.send(f.instances[n%len(f.instances)], c)
		if err == nil && a.status == http.StatusOK && a.isComplete {
			assert.Equal(f.w.t, s.version, versionOf(a.seal))
			return true
		}
		wait, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
	return false
}

// loss takes engines away.
type loss func(f *versionFleet, list []*tlstand.Endpoint)

// crash ends engines at once, whose entries lapse later.
func crash(f *versionFleet, list []*tlstand.Endpoint) {
	for _, e := range list {
		e.End()
		time.AfterFunc(2*time.Second, func() { f.w.store.Put(platform.TopicEndpoints, e.ID, nil) })
	}
}

// leave has engines drain, and end before their streams do.
func leave(f *versionFleet, list []*tlstand.Endpoint) {
	for _, e := range list {
		f.w.store.PutJSON(platform.TopicEndpoints, e.ID, e.Entry(tlstand.ModelService, "draining"))
		time.AfterFunc(300*time.Millisecond, func() { e.End() })
		time.AfterFunc(600*time.Millisecond, func() { f.w.store.Put(platform.TopicEndpoints, e.ID, nil) })
	}
}

// crashInTurn ends engines one after the other.
func crashInTurn(f *versionFleet, list []*tlstand.Endpoint) {
	crash(f, list[:1])
	time.Sleep(400 * time.Millisecond)
	crash(f, list[1:])
}

// Guards against streams that are refused for good, since the decode engines of their version
// are lost while its prefill engines live (review/13).
func TestStreamsGoOnWherePrefillEnginesOfTheirVersionAreLeft(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		lose  loss
		takes time.Duration
		tries int
		// isOnly says that no other version serves.
		isOnly bool
	}{
		{"1 the engine is back while answers are held", crash, shortRoleChange, 1, false},
		{"2 the engine is back within the only try of a caller", crash, longRoleChange, 1, false},
		{"3 the engines leave", leave, shortRoleChange, 1, false},
		{"4 the engines crash one after the other", crashInTurn, shortRoleChange, 1, false},
		{"5 no other version serves", crash, longRoleChange, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newRoleFleet(t, 2, c.takes, c.isOnly)
			all := f.beginAt("v1", 6)
			c.lose(f, f.byVersion["v1"][2:])
			var finishing sync.WaitGroup
			for _, s := range all {
				finishing.Go(func() { assert.True(t, f.finish(s, c.tries), "stream %s after %s", s.id, s.last) })
			}
			finishing.Wait()
			assert.Equal(t, map[string]int{"prefill": 1, "decode": 1}, f.roles("v1", "p"), "one is ordered to decode, the other reads for it")
			for _, s := range all {
				assert.Zero(t, f.arrivals("v2", s.id))
			}
		})
	}
}

// Guards against a version that is kept alive though nobody needs it.
func TestPrefillEnginesOfAVersionWithoutStreamsKeepTheirRole(t *testing.T) {
	t.Parallel()
	f := newRoleFleet(t, 2, shortRoleChange, false)
	crash(f, f.byVersion["v1"][2:])
	var calling sync.WaitGroup
	for n := range 30 {
		time.Sleep(100 * time.Millisecond)
		calling.Go(func() {
			c := resumableCall(fmt.Sprint("n-", n))
			c.Deadline = testTimeout
			a := f.w.call(f.instances[n%2], c)
			assert.Equal(t, http.StatusOK, a.status, a.body)
		})
	}
	calling.Wait()
	for _, e := range f.byVersion["v1"][:2] {
		assert.Empty(t, e.Orders())
	}
}
