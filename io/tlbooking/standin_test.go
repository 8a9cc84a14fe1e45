package tlbooking

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

const testService = "s"

// testFleet is a few coordinators whose home, "home", is silent, and which have
// "other" to stand in for it.
type testFleet struct {
	coordinators map[string]*Coordinator
	mu           sync.Mutex
	counts       map[string]int
}

func (f *testFleet) count(name, counter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name+" "+counter]++
}

func (f *testFleet) counted(name, counter string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[name+" "+counter]
}

func newTestFleet(t *testing.T, prefill, decode int, names ...string) *testFleet {
	f := &testFleet{coordinators: map[string]*Coordinator{}, counts: map[string]int{}}
	var list tlwire.InstanceList
	var meshes []*tlpeer.Mesh
	for _, name := range append([]string{"home"}, names...) {
		m := newTestMesh(t, name)
		if name == "home" {
			tlpeer.Handle(m, kindPlace, func(ctx context.Context, _ tlpeer.Peer, _ tlwire.PlaceCall) (tlwire.PlaceAnswer, error) {
				<-ctx.Done()
				return tlwire.PlaceAnswer{}, ctx.Err()
			})
		} else {
			f.coordinators[name] = f.newCoordinator(t, name, m, testEngines(prefill, decode))
		}
		m.Start()
		meshes = append(meshes, m)
		list.Instances = append(list.Instances, tlwire.Instance{
			Name: name, Kind: tlwire.InstanceKindEntry, DataCentre: "d", PeerAddress: m.Address(), State: tlwire.InstanceStateLive,
		})
	}
	for _, m := range meshes {
		m.SetInstances(list)
	}
	return f
}

func newTestMesh(t *testing.T, name string) *tlpeer.Mesh {
	l := logrus.New()
	l.SetOutput(io.Discard)
	m, err := tlpeer.New(tlpeer.Options{
		Name: name, Incarnation: 1, DataCentre: "d", Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Heartbeat: time.Second, SuspectAfter: 3 * time.Second, Idle: time.Minute,
		Now: time.Now, Log: logrus.NewEntry(l), Add: func(string, int64) {},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		m.Close()
		<-m.Done()
	})
	return m
}

func (f *testFleet) newCoordinator(t *testing.T, name string, m *tlpeer.Mesh, engines []tlendpoint.Endpoint) *Coordinator {
	l := logrus.New()
	l.SetOutput(io.Discard)
	d := New(Options{
		Self:   tlplace.Owner{Name: name, Incarnation: 1},
		Mesh:   m,
		Homes:  func(string) []string { return []string{"home", "other"} },
		IsGone: func(tlplace.Owner) bool { return false },
		Post:   func(_, _ string, send func(context.Context) error) { _ = send(context.Background()) },
		Now:    time.Now,
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, uint64(len(name)))) },
		Log:    logrus.NewEntry(l),
		Count:  func(counter string) { f.count(name, counter) },
	})
	d.SetEngines(tlroute.Service{Name: testService, Engine: &tlroute.Engine{Memory: 10_000, Slots: 8, Stride: 1}}, engines)
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-d.Done()
	})
	return d
}

func testEngines(prefill, decode int) []tlendpoint.Endpoint {
	var list []tlendpoint.Endpoint
	for n := range prefill {
		list = append(list, tlendpoint.Endpoint{ID: fmt.Sprint("p", n), Role: tlendpoint.Prefill, Incarnation: 1})
	}
	for n := range decode {
		list = append(list, tlendpoint.Endpoint{ID: fmt.Sprint("d", n), Role: tlendpoint.Decode, Incarnation: 1})
	}
	return list
}

func (f *testFleet) place(t *testing.T, name, id string) tlplace.Decision {
	now := time.Now()
	a, err := f.coordinators[name].Place(context.Background(), testService, tlplace.Request{
		ID: id, Prompt: 1000, Output: 100, Due: now.Add(2 * time.Second), GiveUp: now.Add(5 * time.Second), Deadline: now.Add(9 * time.Second),
	})
	require.NoError(t, err)
	return a
}

// Until all instances know of a lost home, those that have noticed ask the same other
// one. Each by itself would send prompts to engines that others keep busy already.
func TestOwnersOfASilentHomeAskTheSameOther(t *testing.T) {
	owners := []string{"a", "b", "c", "e", "f", "g"}
	f := newTestFleet(t, 3, 3, append([]string{"other"}, owners...)...)
	var mu sync.Mutex
	prompts := map[string]int{}
	var placing sync.WaitGroup
	for _, name := range owners {
		placing.Go(func() {
			d := f.place(t, name, "1"+name)
			mu.Lock()
			defer mu.Unlock()
			prompts[d.Prefill]++
		})
	}
	placing.Wait()
	assert.Equal(t, map[string]int{"p0": 2, "p1": 2, "p2": 2}, prompts, "one book spreads the prompts")
	assert.Equal(t, 1, f.counted("other", StoodIn))
	for _, name := range owners {
		assert.Zero(t, f.counted(name, PlacedLocally))
		f.coordinators[name].Report(testService, "1"+name, Prefilled, "p0")
	}
	began := time.Now()
	f.place(t, "a", "2a")
	assert.Less(t, time.Since(began), longPollTimeout, "a doubted home is not asked again at once")
	assert.Equal(t, 1, f.counted("a", HomeAbandoned))
}

// The stand-in knows at once what those hold who turn to it.
func TestOwnersReportWhatTheyHoldToTheStandIn(t *testing.T) {
	f := newTestFleet(t, 0, 1, "other", "a")
	held := tlplace.Booking{Request: "held", Owner: f.coordinators["a"].o.Self, Decode: "d0", Tokens: 8000}
	f.coordinators["a"].reservationsOf(testService, nil).adopt(time.Now(), []tlplace.Booking{held})
	placed := make(chan tlplace.Decision, 1)
	go func() { placed <- f.place(t, "a", "1") }()
	require.Eventually(t, func() bool {
		return f.coordinators["other"].reservationsOf(testService, nil).sums(time.Now()).Booked >= 8000
	}, 2*time.Second, time.Millisecond)
	f.coordinators["a"].Report(testService, "held", Completed, "")
	assert.Equal(t, "d0", (<-placed).Decode)
}
