package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

// busyStore has the store refuse all calls.
func busyStore(s *tlstand.Store) {
	s.SetIntercept(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
}

// kill ends instances at once and waits until the others know.
func (f *versionFleet) kill(killed ...*Instance) {
	f.w.t.Helper()
	for _, i := range killed {
		closeOnce(i)
	}
	f.instances = slices.DeleteFunc(f.instances, func(i *Instance) bool { return slices.Contains(killed, i) })
	for _, i := range f.instances {
		f.w.eventually(func() bool { return len(i.gossip.Live()) == len(f.instances) })
	}
}

// waitForCopies waits until two instances besides the one that began streams know the
// origin of each.
func (f *versionFleet) waitForCopies(begins *Instance, all []*begunStream) {
	f.w.t.Helper()
	// A registry whose question has no time tells only what it knows by itself.
	ended, stop := context.WithCancel(context.Background())
	stop()
	for _, s := range all {
		f.w.eventually(func() bool {
			n := 0
			for _, i := range f.instances {
				if _, err := i.registry.Find(ended, tlstand.ModelService, s.id); i != begins && err == nil {
					n++
				}
			}
			return n >= 2
		})
	}
}

// Guards against streams that nobody can take up once the home of their service has ended,
// which served them itself while the store was away, or before it lost its last seconds.
func TestOriginOutlastsItsHomeAndTheStoresAbsence(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// others is how many instances end with the home.
		others int
		// isBack says that the store is back, from a copy if isCopy is set.
		isBack, isCopy bool
	}{
		{"1 store away", 0, false, false},
		{"2 store back", 0, true, false},
		{"3 store back from a copy", 0, true, true},
		{"4 store away, two instances end", 1, false, false},
		{"5 store back from a copy, two instances end", 1, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newVersionFleet(t, 5, "v1", "v2")
			before := f.w.store.Copy()
			home, _ := homeAndOther(f.instances)
			if !c.isCopy {
				busyStore(f.w.store)
			}
			var all []*begunStream
			for range 6 {
				all = append(all, f.begin(home))
			}
			f.waitForCopies(home, all)
			ended := []*Instance{home}
			for _, i := range f.instances {
				if i != home && len(ended) <= c.others {
					ended = append(ended, i)
				}
			}
			f.kill(ended...)
			if c.isCopy {
				f.w.store.GoBack(before)
			}
			if c.isBack {
				f.w.store.SetIntercept(nil)
			}
			f.takeUpAll(all)
		})
	}
}

// Guards against streams that go on at another version at an instance that has missed the
// beginning of a release, where it lists one version only, which is not the stream's.
func TestInstanceOutOfStepContinuesAStreamAtTheVersionThatItLists(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// areOthersGone and isStoreAway say whom the instance can't ask.
		areOthersGone, isStoreAway bool
	}{
		{"1 all answer", false, false},
		{"2 only the store answers", true, false},
		{"3 only the other instances answer", false, true},
		{"4 nobody answers", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newVersionFleet(t, 3, "v1")
			late := f.instances[0]
			old := slices.Clone(late.directory.Endpoints(tlstand.ModelService))
			f.start("v2", "prefill", "v2-p")
			f.start("v2", "decode", "v2-d1")
			for _, i := range f.instances {
				f.w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.ModelService)) == f.engineCount() })
			}
			var all []*begunStream
			for n := 0; len(all) < 4; n++ {
				require.Less(t, n, 100)
				if s := f.begin(f.instances[1+n%2]); s.version == "v2" {
					all = append(all, s)
				}
			}
			f.waitUntilWritten()
			late.publishEndpoints(old)
			if c.isStoreAway {
				busyStore(f.w.store)
			}
			if c.areOthersGone {
				f.kill(f.instances[1:]...)
			}
			for _, s := range all {
				began := time.Now()
				id, a := f.takeUp(late, s)
				assert.Zero(t, f.arrivals("v1", id), fmt.Sprint(a.status, a.body))
				assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
				assert.Equal(t, "NotRun", a.header.Get("Trefoil-Verdict"))
				assert.Less(t, time.Since(began), time.Second, "refused at once")
			}
			f.w.store.SetIntercept(nil)
			f.w.store.PutJSON(platform.TopicEndpoints, "v2-p", f.byVersion["v2"][0].Entry(tlstand.ModelService, "ready"))
			f.w.eventually(func() bool { return len(late.directory.Endpoints(tlstand.ModelService)) == f.engineCount() })
			for _, s := range all {
				_, a := f.takeUp(late, s)
				assert.Equal(t, http.StatusOK, a.status, a.body)
				assert.Equal(t, "v2", versionOf(a.seal))
			}
		})
	}
}
