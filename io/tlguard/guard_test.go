package tlguard

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

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlquarantine"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testService = "s"

// testFleet is guards of which the first is the home, until a test says otherwise.
type testFleet struct {
	t      *testing.T
	guards []*Guard

	mu   sync.Mutex
	home int
	// alive holds the endpoints that have not ended.
	alive  map[string]bool
	counts map[string]int
	// decided lists what guards had written to the store.
	decided []string
}

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{t: t, alive: map[string]bool{}, counts: map[string]int{}}
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
		g := New(Options{
			Self: instanceName(k), Mesh: m,
			Home:   func(string) string { return instanceName(f.homeIndex()) },
			Others: func() []string { return f.othersThan(k) },
			Post: func(_, _ string, send func(context.Context) error) {
				_ = send(context.Background())
			},
			HasEnded:     f.hasEnded,
			Now:          time.Now,
			OnQuarantine: func(q tlwire.Quarantine) { f.decide(instanceName(k) + " quarantines " + q.Part) },
			OnLifted:     func(_, part string) { f.decide(instanceName(k) + " lifts " + part) },
			Log:          logrus.NewEntry(l), Count: f.count,
		})
		ctx, stop := context.WithCancel(context.Background())
		go g.Run(ctx)
		m.Start()
		t.Cleanup(func() {
			m.Close()
			<-m.Done()
		})
		t.Cleanup(func() {
			stop()
			<-g.Done()
		})
		f.guards, meshes = append(f.guards, g), append(meshes, m)
		list.Instances = append(list.Instances, tlwire.Instance{
			Name: instanceName(k), Kind: tlwire.InstanceKindEntry, DataCentre: "d", PeerAddress: m.Address(), State: tlwire.InstanceStateLive,
		})
	}
	for _, m := range meshes {
		m.SetInstances(list)
	}
	return f
}

func instanceName(n int) string {
	return fmt.Sprint("i", n)
}

func (f *testFleet) homeIndex() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.home
}

func (f *testFleet) setHome(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.home = n
}

func (f *testFleet) othersThan(k int) []string {
	var names []string
	for n := range f.guards {
		if n != k {
			names = append(names, instanceName(n))
		}
	}
	return names
}

func (f *testFleet) hasEnded(_ context.Context, e tlendpoint.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.alive[e.ID]
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

func (f *testFleet) decide(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decided = append(f.decided, text)
}

func (f *testFleet) decisions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.decided...)
}

func testEndpoint(n int) tlendpoint.Endpoint {
	return tlendpoint.Endpoint{ID: fmt.Sprint("e", n), Service: testService, Incarnation: 7}
}

// crash has an endpoint end under a request at an instance, and waits until that is counted.
func (f *testFleet) crash(instance, endpoint int, parts ...string) {
	before := f.counted(Crashed)
	f.guards[instance].Broke(testEndpoint(endpoint), parts)
	require.Eventually(f.t, func() bool { return f.counted(Crashed) == before+1 }, time.Second, time.Millisecond)
	time.Sleep(250 * time.Millisecond)
}

// holds reports whether all instances keep requests with a part from endpoints.
func (f *testFleet) holds(part string) bool {
	for _, g := range f.guards {
		if _, ok := g.Held(testService, []string{"other", part}); !ok {
			return false
		}
	}
	return true
}

// isFree reports whether none does.
func (f *testFleet) isFree(part string) bool {
	for _, g := range f.guards {
		if _, ok := g.Held(testService, []string{part}); ok {
			return false
		}
	}
	return true
}

func (f *testFleet) eventually(what func() bool) {
	f.t.Helper()
	require.Eventually(f.t, what, 2*time.Second, time.Millisecond)
}

// Crashes that owners see one each add up at the home, and only there is a part blamed.
func TestEachInstanceCountsItsOwnCrashesOnly(t *testing.T) {
	f := newTestFleet(t, 4)
	f.guards[2].Answered(testService, []string{"a", "y"})
	for n := range tlquarantine.MinCrashes {
		assert.True(t, f.isFree("x"))
		f.crash(n+1, n, "a", "x", fmt.Sprint("b", n))
	}
	f.eventually(func() bool { return f.holds("x") })
	assert.True(t, f.isFree("a"))
	assert.Equal(t, []string{"i0 quarantines x"}, f.decisions())
	assert.Equal(t, 1, f.counted(Quarantined))
	left, ok := f.guards[3].Held(testService, []string{"x"})
	assert.True(t, ok)
	assert.InDelta(t, tlquarantine.HoldTime, left, float64(5*time.Second))
	_, ok = f.guards[3].Held("another service", []string{"x"})
	assert.False(t, ok)
}

// An owner that has seen all the crashes has not seen others' answers on the part.
func TestAnOwnerThatIsNotHomeQuarantinesByItself(t *testing.T) {
	f := newTestFleet(t, 2)
	f.guards[0].Answered(testService, []string{"a", "x"})
	for n := range tlquarantine.MinCrashes + 1 {
		f.crash(1, n, "a", "x")
	}
	assert.Empty(t, f.decisions())
}

// An instance that has completed answers on a part objects to its quarantine.
func TestAnswersAtOtherInstancesClearNoPart(t *testing.T) {
	f := newTestFleet(t, 3)
	f.guards[2].Answered(testService, []string{"x"})
	for n := range tlquarantine.MinCrashes {
		f.crash(1, n, "x")
	}
	f.eventually(func() bool { return len(f.decisions()) == 2 && f.isFree("x") })
	assert.Equal(t, []string{"i0 quarantines x", "i0 lifts x"}, f.decisions())
}

func TestAnswerOfARequestInFlightLiftsNoQuarantine(t *testing.T) {
	f := newTestFleet(t, 3)
	for n := range tlquarantine.MinCrashes {
		f.crash(1, n, "y", "x")
	}
	f.eventually(func() bool { return f.holds("x") })
	f.guards[2].Answered(testService, []string{"x"})
	f.eventually(func() bool { return f.isFree("x") && f.holds("y") })
	assert.Equal(t, []string{"i0 quarantines x", "i0 lifts x", "i0 quarantines y"}, f.decisions())
}

// A new home counts the crashes that owners have seen before it was one.
func TestCrashesAreForgottenWhenTheHomeChanges(t *testing.T) {
	f := newTestFleet(t, 4)
	for n := range tlquarantine.MinCrashes - 1 {
		f.crash(n+2, n, "x")
	}
	f.setHome(1)
	time.Sleep(2 * checkInterval)
	assert.True(t, f.isFree("x"))
	f.crash(2, 7, "x")
	f.eventually(func() bool { return f.holds("x") })
	assert.Equal(t, []string{"i1 quarantines x"}, f.decisions())
}

func TestEndpointThatHasNotEndedIsTakenForCrashed(t *testing.T) {
	f := newTestFleet(t, 2)
	for n := range 2 * tlquarantine.MinCrashes {
		f.alive[testEndpoint(n).ID] = true
	}
	for n := range 2 * tlquarantine.MinCrashes {
		f.guards[1].Broke(testEndpoint(n), []string{"x"})
		time.Sleep(250 * time.Millisecond)
	}
	assert.Equal(t, 2*tlquarantine.MinCrashes, f.counted(LivedOn))
	assert.Zero(t, f.counted(Crashed))
	assert.Empty(t, f.decisions())
}

func TestEndpointThatAnswersLaterIsTakenForCrashed(t *testing.T) {
	f := newTestFleet(t, 3)
	for n := range tlquarantine.MinCrashes {
		f.crash(1, n, "x")
	}
	f.eventually(func() bool { return f.holds("x") })
	f.guards[1].Alive(testEndpoint(0), time.Now().Add(-time.Minute))
	f.guards[2].Alive(testEndpoint(0), time.Now())
	time.Sleep(50 * time.Millisecond)
	assert.True(t, f.holds("x"), "an answer from before, and one of an instance that saw no crash")
	f.guards[1].Alive(testEndpoint(0), time.Now())
	f.eventually(func() bool { return f.isFree("x") })
	assert.Equal(t, []string{"i0 quarantines x", "i0 lifts x"}, f.decisions())
}

// Requests that wait for a place end as soon as their part is in quarantine.
func TestWaitingRequestIsNotEndedByAQuarantine(t *testing.T) {
	f := newTestFleet(t, 1)
	waiting, stopWaiting := f.guards[0].Watch(context.Background(), testService, []string{"a", "x"})
	defer stopWaiting()
	sound, stopSound := f.guards[0].Watch(context.Background(), testService, []string{"a", "y"})
	defer stopSound()
	f.guards[0].SetQuarantine(tlwire.Quarantine{Service: testService, Part: "x", Until: time.Now().Add(time.Minute)})
	assert.Error(t, waiting.Err())
	assert.NoError(t, sound.Err())
	stopWaiting()
	stopSound()
	assert.Empty(t, f.guards[0].byService[testService].watches)
}

func TestRecordOfAServiceThatIsNotKnownYetIsForgotten(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.guards[0]
	g.SetQuarantine(tlwire.Quarantine{Service: "new", Part: "x", Until: time.Now().Add(time.Minute)})
	g.SetQuarantine(tlwire.Quarantine{Service: "new", Part: "y", Until: time.Now().Add(time.Minute)})
	g.SetQuarantine(tlwire.Quarantine{Service: "new", Part: "z", Until: time.Now().Add(-time.Minute)})
	g.LiftQuarantine("new", "y")
	for part, want := range map[string]bool{"x": true, "y": false, "z": false} {
		_, held := g.Held("new", []string{part})
		assert.Equal(t, want, held, part)
	}
	assert.Empty(t, f.decisions(), "nothing is written again")
}

func TestCrashesAtOneEndpointAreCheckedTogetherAndBounded(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.guards[0]
	release := make(chan struct{})
	var dials sync.WaitGroup
	checks := 0
	g.o.HasEnded = func(context.Context, tlendpoint.Endpoint) bool {
		f.mu.Lock()
		checks++
		f.mu.Unlock()
		<-release
		return true
	}
	for n := range 3 * maxOwn {
		dials.Go(func() { g.Broke(testEndpoint(0), []string{fmt.Sprint("x", n)}) })
	}
	dials.Wait()
	close(release)
	f.eventually(func() bool { return f.counted(Crashed) == maxOwn })
	assert.Equal(t, 1, checks)
	assert.Len(t, g.byService[testService].own, maxOwn)
}

func TestPartThatWasBlamedWronglyIsHeldForLong(t *testing.T) {
	f := newTestFleet(t, 3)
	for n := range tlquarantine.MinCrashes {
		f.crash(1, n, "y", "x")
	}
	f.eventually(func() bool { return f.holds("x") })
	ctx := context.Background()
	assert.False(t, f.guards[1].Try(ctx, testService, []string{"y", "x"}), "like those that crashed")
	assert.True(t, f.guards[2].Try(ctx, testService, []string{"x"}))
	for n := range f.guards {
		assert.False(t, f.guards[n].Try(ctx, testService, []string{"x"}), "one at a time")
	}
	// Whoever may be the next home learns of it.
	for _, g := range f.guards {
		f.eventually(func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			_, trials := g.byService[testService].table.Beside("x")
			return trials == 1
		})
	}
	f.guards[2].Answered(testService, []string{"x"})
	f.eventually(func() bool { return f.isFree("x") && f.holds("y") })
}

func TestOnlyTheHomeGrantsTrials(t *testing.T) {
	f := newTestFleet(t, 2)
	for n := range tlquarantine.MinCrashes {
		f.crash(1, n, "y", "x")
	}
	f.eventually(func() bool { return f.holds("x") })
	a, err := f.guards[1].handleTrial(context.Background(), tlpeer.Peer{}, tlwire.TrialCall{Service: testService, Parts: []string{"x"}})
	require.NoError(t, err)
	assert.False(t, a.IsGranted)
}
