package tlmeter

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlquota"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testFleet is meters whose view of the home a test sets.
type testFleet struct {
	meters []*Meter
	meshes []*tlpeer.Mesh

	mu     sync.Mutex
	homes  []string
	counts map[string]int
	// passed is how much later than start the meters' clock is.
	passed time.Duration
}

var start = time.Unix(1000, 0)

func instanceName(n int) string {
	return fmt.Sprint("i", n)
}

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{counts: map[string]int{}}
	l := logrus.New()
	l.SetOutput(io.Discard)
	var list tlwire.InstanceList
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
		f.homes = append(f.homes, instanceName(0))
		f.meters = append(f.meters, New(Options{
			Self: instanceName(k), Incarnation: 1, Mesh: m,
			Home:   func(string) tlquota.Home { return tlquota.Home{Name: f.home(k), Incarnation: 1} },
			Window: 8 * time.Second,
			Fleet:  func() Fleet { return Fleet{InTouch: n, Listed: n, Rank: k} },
			Post: func(_, _ string, send func(context.Context) error) {
				assert.NoError(t, send(context.Background()))
			},
			Now: f.now, Log: logrus.NewEntry(l), Add: f.count,
		}))
		m.Start()
		f.meshes = append(f.meshes, m)
		list.Instances = append(list.Instances, tlwire.Instance{
			Name: instanceName(k), Kind: tlwire.InstanceKindEntry, DataCentre: "d", PeerAddress: m.Address(), State: tlwire.InstanceStateLive,
		})
	}
	for _, m := range f.meshes {
		m.SetInstances(list)
	}
	return f
}

func (f *testFleet) now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return start.Add(f.passed)
}

func (f *testFleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passed += d
}

func (f *testFleet) home(k int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.homes[k]
}

func (f *testFleet) count(reason string, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[reason] += int(n)
}

func (f *testFleet) counted(reason string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[reason]
}

// charge is a request of an organisation that may send ten at once, and next to nothing more.
func charge() Charge {
	return Charge{Organisation: "o", Limit: tlquota.Limit{Rate: 1e-3, Burst: 80, Version: 1}, Cost: 1}
}

// admitted counts the requests that are admitted, of which each instance is asked for some in turn.
func (f *testFleet) admitted(requests int) int {
	n := 0
	for k := range requests {
		if f.meters[k%len(f.meters)].Admit(context.Background(), charge()).IsGranted {
			n++
		}
	}
	return n
}

func TestInstancesKeepTheQuotaTogether(t *testing.T) {
	f := newTestFleet(t, 4)
	assert.Equal(t, 10, f.admitted(40))
	assert.Equal(t, 30, f.counted(Refused))
	c := charge()
	c.By = tlquota.Home{Name: instanceName(0), Incarnation: 1}
	f.meters[1].GiveBack(c)
	assert.Equal(t, 1, f.admitted(4), "what was given back may be used again")
}

// Guards against credit at a home, or at an instance's own part, that charged nothing.
func TestChargeIsGivenBackToWhoeverMadeIt(t *testing.T) {
	f := newTestFleet(t, 3)
	c := charge()
	admit := func(m *Meter) Charge {
		d := m.Admit(context.Background(), c)
		require.True(t, d.IsGranted)
		charged := c
		charged.By = d.By
		return charged
	}
	remote, local := admit(f.meters[1]), admit(f.meters[0])
	before := f.meters[0].Levels()["o"]
	for k := range f.homes {
		f.homes[k] = instanceName(2)
	}
	admit(f.meters[1])
	after := f.meters[2].Levels()["o"]
	f.meters[1].GiveBack(remote)
	f.meters[0].GiveBack(local)
	assert.Eventually(t, func() bool { return f.meters[0].Levels()["o"] == before+2*c.Cost }, time.Second, time.Millisecond)
	assert.Equal(t, after, f.meters[2].Levels()["o"], "the new home has charged neither")
	remote.By.Incarnation = 7
	f.meters[1].GiveBack(remote)
	assert.Eventually(t, func() bool { return f.counted(ReturnUnknown) == 1 }, time.Second, time.Millisecond)
	assert.Equal(t, before+2*c.Cost, f.meters[0].Levels()["o"], "another process has charged it")
}

// Guards against a home that grants what others have granted, since nobody tells it.
func TestNextHomeHearsWhatWasGranted(t *testing.T) {
	f := newTestFleet(t, 3)
	c := charge()
	c.Limit = tlquota.Limit{Rate: 2, Burst: 4, Slack: 0, Version: 1}
	n := 0
	for step := range 80 {
		for k := range f.homes {
			f.homes[k] = instanceName(step % 3)
		}
		for _, m := range f.meters {
			if m.Admit(context.Background(), c).IsGranted {
				n++
			}
		}
		f.advance(100 * time.Millisecond)
	}
	assert.LessOrEqual(t, n, 2*8+4)
	assert.GreaterOrEqual(t, n, 10)
}

// Guards against a home that is gone or is another one by now: nobody hangs, and no
// instance has the whole quota for itself.
func TestInstanceGrantsItsPartWhileItsHomeIsSilent(t *testing.T) {
	cases := []struct {
		name string
		fail func(f *testFleet)
	}{
		{"1 it is gone", func(f *testFleet) { f.meshes[0].Close() }},
		{"2 it is not the home in its own view", func(f *testFleet) { f.homes[0] = instanceName(1) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, 4)
			c.fail(f)
			c := charge()
			c.Limit.Rate = 16
			n, asked := 0, 0
			for end := f.now().Add(2 * time.Second); f.now().Before(end); f.advance(50 * time.Millisecond) {
				for _, m := range f.meters[1:] {
					if m.Admit(context.Background(), c).IsGranted {
						n++
					}
					asked++
				}
			}
			whole := 16 * (2*time.Second + 250*time.Millisecond).Seconds()
			assert.InDelta(t, whole*3/4, n, 2, "three instances' parts, and what they had saved up")
			assert.Equal(t, asked, f.counted(HomeSilent))
		})
	}
}

func TestCallerThatLeavesIsNotCharged(t *testing.T) {
	f := newTestFleet(t, 2)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	for range 20 {
		assert.False(t, f.meters[1].Admit(ctx, charge()).IsGranted)
	}
	assert.Eventually(t, func() bool { return f.meters[0].Levels()["o"] == 10 }, time.Second, time.Millisecond, "all charges are given back")
	assert.Equal(t, 10, f.admitted(20))
}

// Measures what the question to the home costs a request.
func BenchmarkAdmit(b *testing.B) {
	f := newTestFleet(&testing.T{}, 2)
	c := charge()
	c.Limit = tlquota.Limit{Rate: 1e12, Burst: 1e12, Version: 1}
	for n, name := range []string{"Home", "Remote"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f.meters[n].Admit(context.Background(), c)
			}
		})
	}
}
