package tllimiter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tldirectory"
	"trefoillanding/io/tlpeer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var testEndpoint = tlendpoint.Endpoint{ID: "e", Service: "s", Incarnation: 7, Address: netip.MustParseAddrPort("127.0.0.1:9")}

// testFleet is limiters whose views of each other a test sets.
type testFleet struct {
	limiters    []*Limiter
	directories []*tldirectory.Directory
	// homes has who is the home in the view of each, and inTouch how many each is in touch with.
	homes   []string
	inTouch []int

	mu     sync.Mutex
	counts map[string]int
}

func instanceName(n int) string {
	return fmt.Sprint("i", n)
}

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{counts: map[string]int{}}
	l := logrus.New()
	l.SetOutput(io.Discard)
	var list tlwire.InstanceList
	var meshes []*tlpeer.Mesh
	for k := range n {
		m, err := tlpeer.New(tlpeer.Options{
			Name: instanceName(k), Incarnation: 1, DataCentre: "d", Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Heartbeat: time.Second, SuspectAfter: 3 * time.Second, Idle: time.Minute,
			Now: time.Now, Log: logrus.NewEntry(l), Add: func(string, int64) {},
		})
		require.NoError(t, err)
		t.Cleanup(func() {
			m.Close()
			<-m.Done()
		})
		d := tldirectory.New(rand.New(rand.NewPCG(1, uint64(k))), func(string, bool, bool) {})
		d.Set(time.Now(), []tlendpoint.Endpoint{testEndpoint})
		f.homes, f.inTouch = append(f.homes, instanceName(0)), append(f.inTouch, n)
		f.directories = append(f.directories, d)
		f.limiters = append(f.limiters, New(Options{
			Self: instanceName(k), Mesh: m, Directory: d,
			Home:   func(string) string { return f.homes[k] },
			Others: func() []string { return f.othersThan(k) },
			Fleet:  func() (int, int) { return f.inTouch[k], n },
			Post: func(_, _ string, send func(context.Context) error) {
				assert.NoError(t, send(context.Background()))
			},
			Now: time.Now, Log: logrus.NewEntry(l), Count: f.count,
		}))
		m.Start()
		meshes = append(meshes, m)
		list.Instances = append(list.Instances, tlwire.Instance{
			Name: instanceName(k), Kind: tlwire.InstanceKindEntry, DataCentre: "d", PeerAddress: m.Address(), State: tlwire.InstanceStateLive,
		})
	}
	for _, m := range meshes {
		m.SetInstances(list)
	}
	return f
}

func (f *testFleet) othersThan(k int) []string {
	var names []string
	for n := range f.limiters {
		if n != k {
			names = append(names, instanceName(n))
		}
	}
	return names
}

func (f *testFleet) count(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[reason]++
}

func (f *testFleet) counted(reason string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[reason]
}

func (f *testFleet) hear(n int, rate float64) {
	f.limiters[n].Observe(testEndpoint, tlcall.Limit{IsNamed: true, Rate: rate}, time.Now())
}

// admitted counts the permits that all get within a time, each asking every 10 ms.
func (f *testFleet) admitted(d time.Duration) int {
	var asking sync.WaitGroup
	var n atomic.Int64
	for _, l := range f.limiters {
		asking.Go(func() {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				if l.Admit(context.Background(), testEndpoint) == nil {
					n.Add(1)
				}
			}
		})
	}
	asking.Wait()
	return int(n.Load())
}

func TestInstancesOutOfTouchExceedTheLimitTogether(t *testing.T) {
	const rate, span = 12, 3 * time.Second
	cases := []struct {
		name  string
		homes []int
	}{
		{"1 all in touch", []int{0, 0, 0, 0, 0, 0}},
		{"2 one cut off", []int{0, 0, 0, 0, 0, 5}},
		{"3 halves", []int{0, 0, 0, 3, 3, 3}},
		{"4 each by itself", []int{0, 1, 2, 3, 4, 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, len(c.homes))
			f.hear(0, rate)
			for k, home := range c.homes {
				f.homes[k], f.inTouch[k] = instanceName(home), 0
				for _, other := range c.homes {
					if other == home {
						f.inTouch[k]++
					}
				}
			}
			for _, d := range f.directories {
				require.Eventually(t, func() bool { _, _, ok := d.Limit(testEndpoint); return ok }, time.Second, time.Millisecond)
			}
			n := f.admitted(span)
			assert.LessOrEqual(t, n, int(rate*span.Seconds())+len(c.homes))
			assert.GreaterOrEqual(t, n, int(rate*span.Seconds())/2)
		})
	}
}

func TestOnlyTheHomeByItsOwnViewGivesPermits(t *testing.T) {
	f := newTestFleet(t, 2)
	f.hear(1, 1000)
	f.homes[0] = instanceName(1)
	assert.ErrorIs(t, f.limiters[1].Admit(context.Background(), testEndpoint), errNoPermit)
	assert.Equal(t, 1, f.counted(HomeSilent))
	assert.True(t, f.directories[1].IsClosed(time.Now(), testEndpoint))
	assert.ErrorIs(t, f.limiters[1].Admit(context.Background(), testEndpoint), errClosed)
	assert.Equal(t, 1, f.counted(HomeSilent), "no other question while it is closed")
	open, all := f.directories[1].OpensIn(time.Now(), "s")
	assert.True(t, all)
	assert.LessOrEqual(t, open, homePause)
}

func TestCallerThatLeavesClosesNoEndpoint(t *testing.T) {
	f := newTestFleet(t, 1)
	f.hear(0, 1)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	assert.ErrorIs(t, f.limiters[0].Admit(ctx, testEndpoint), context.Canceled)
	assert.False(t, f.directories[0].IsClosed(time.Now(), testEndpoint))
}

func TestEndOfALimitReachesAllInstances(t *testing.T) {
	f := newTestFleet(t, 3)
	sentBefore := time.Now()
	f.hear(1, 5)
	isLimited := func(n int) func() bool {
		return func() bool { _, _, ok := f.directories[n].Limit(testEndpoint); return ok }
	}
	for n := range f.limiters {
		require.Eventually(t, isLimited(n), time.Second, time.Millisecond)
	}
	f.limiters[2].Observe(testEndpoint, tlcall.Limit{}, sentBefore)
	f.limiters[2].Observe(testEndpoint, tlcall.Limit{IsNamed: true, IsUnreadable: true}, time.Now())
	time.Sleep(50 * time.Millisecond)
	for n := range f.limiters {
		assert.True(t, isLimited(n)(), "an answer from before the limit was named, and one that can't be read")
	}
	f.limiters[2].Observe(testEndpoint, tlcall.Limit{}, time.Now())
	for n := range f.limiters {
		require.Eventually(t, func() bool { return !isLimited(n)() }, time.Second, time.Millisecond)
		assert.NoError(t, f.limiters[n].Admit(context.Background(), testEndpoint))
	}
	assert.Equal(t, 1, f.counted(Unreadable))
}
