package tlpeer

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// counts is a set of counters for tests.
type counts struct {
	mu sync.Mutex
	n  map[string]int64
}

func (c *counts) add(reason string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[reason] += n
}

func (c *counts) of(reason string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[reason]
}

type change func(*Options)

func newMesh(t *testing.T, name string, changes ...change) (*Mesh, *counts) {
	t.Helper()
	n := &counts{n: map[string]int64{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{
		Name:         name,
		Incarnation:  1,
		DataCentre:   "izmir",
		Listen:       netip.MustParseAddrPort("127.0.0.1:0"),
		Token:        "secret",
		Heartbeat:    20 * time.Millisecond,
		SuspectAfter: 200 * time.Millisecond,
		Idle:         time.Minute,
		Now:          time.Now,
		Log:          logrus.NewEntry(log),
		Add:          n.add,
	}
	for _, c := range changes {
		c(&o)
	}
	m, err := New(o)
	require.NoError(t, err)
	t.Cleanup(func() {
		m.Close()
		<-m.Done()
	})
	return m, n
}

func introduce(meshes ...*Mesh) tlwire.InstanceList {
	var l tlwire.InstanceList
	for _, m := range meshes {
		l.Instances = append(l.Instances, tlwire.Instance{
			Name: m.o.Name, Kind: tlwire.InstanceKindEntry, DataCentre: m.o.DataCentre,
			PeerAddress: m.Address(), State: tlwire.InstanceStateLive,
		})
	}
	for _, m := range meshes {
		m.SetInstances(l)
	}
	return l
}

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestCallAndSend(t *testing.T) {
	a, _ := newMesh(t, "a")
	b, _ := newMesh(t, "b")
	got := make(chan int, 100)
	Handle(b, "Double", func(_ context.Context, from Peer, n int) (int, error) {
		if n < 0 {
			return 0, tlverdict.New(tlverdict.QueueFull, "no room for %s", from.Name).WithRetryAfter(time.Second)
		}
		return 2 * n, nil
	})
	Handle(b, "Note", func(_ context.Context, _ Peer, n int) (Nothing, error) {
		got <- n
		return Nothing{}, nil
	})
	a.Start()
	b.Start()
	introduce(a, b)

	n, err := Call[int, int](within(t), a, "b", "Double", 21)
	require.NoError(t, err)
	assert.Equal(t, 42, n)

	_, err = Call[int, int](within(t), a, "b", "Double", -1)
	v := tlverdict.Of(err)
	assert.Equal(t, tlverdict.QueueFull, v.Reason)
	assert.Equal(t, time.Second, v.RetryAfter)
	assert.Equal(t, "no room for a", v.Message)

	for i := range 100 {
		require.NoError(t, Send(within(t), a, "b", "Note", i))
	}
	for i := range 100 {
		assert.Equal(t, i, <-got, "one-way messages keep their order")
	}
	assert.Equal(t, 1, a.Connections())
}

func TestCallFailures(t *testing.T) {
	a, _ := newMesh(t, "a")
	b, counters := newMesh(t, "b")
	Handle(b, "Text", func(_ context.Context, _ Peer, s string) (string, error) { return s, nil })
	Handle(b, "Panic", func(context.Context, Peer, Nothing) (Nothing, error) { panic("on purpose") })
	Handle(b, "Wait", func(ctx context.Context, _ Peer, _ Nothing) (Nothing, error) {
		<-ctx.Done()
		return Nothing{}, ctx.Err()
	})
	a.Start()
	b.Start()
	l := introduce(a, b)
	l.Instances = append(l.Instances, tlwire.Instance{Name: "c", Kind: tlwire.InstanceKindEntry, PeerAddress: b.Address()})
	a.SetInstances(l)
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	cases := []struct {
		ctx        context.Context
		peer, kind string
		want       Failure
		arrived    bool
		counter    string
	}{
		{within(t), "nobody", "Text", NoPeer, false, ""},
		{within(t), "c", "Text", Unreachable, false, ""},
		{within(t), "c", "Text", Unreachable, false, ""},
		{within(t), "b", "Unknown", Refused, true, countUnknownKind},
		{within(t), "b", "Text", Refused, true, countBadBody},
		{within(t), "b", "Panic", Refused, true, countPanic},
		{short, "b", "Wait", Lost, true, ""},
	}
	for i, c := range cases {
		_, err := Call[Nothing, Nothing](c.ctx, a, c.peer, c.kind, Nothing{})
		var e *Error
		require.ErrorAs(t, err, &e, i)
		assert.Equal(t, c.want, e.Failure, "%d: %v", i, err)
		assert.Equal(t, c.arrived, e.MayHaveArrived(), i)
		if c.counter != "" {
			assert.EqualValues(t, 1, counters.of(c.counter), i)
		}
	}
	_, err := Call[int, int](within(t), a, "a", "None", 1)
	assert.Error(t, err, "a message to itself has no handler either")
}

func TestStrangersAreRefused(t *testing.T) {
	a, _ := newMesh(t, "a", func(o *Options) { o.Token = "wrong" })
	b, counters := newMesh(t, "b")
	a.Start()
	b.Start()
	introduce(a, b)
	_, err := Call[int, int](within(t), a, "b", "Any", 1)
	assert.Error(t, err)
	assert.EqualValues(t, 1, counters.of(countStranger))
	assert.EqualValues(t, 0, counters.of(countAccepted))
}

func TestGarbageClosesTheConnection(t *testing.T) {
	b, counters := newMesh(t, "b", func(o *Options) { o.Token = "" })
	b.Start()
	for i, frame := range [][]byte{{}, {0xff}, []byte("hello"), make([]byte, 8<<10)} {
		s, _, err := websocket.Dial(within(t), "ws://"+b.Address().String()+peerPath, nil)
		require.NoError(t, err)
		require.NoError(t, s.Write(within(t), websocket.MessageBinary, frame))
		_, _, err = s.Read(within(t))
		require.Error(t, err, i)
		_ = s.CloseNow()
	}
	// The library itself closes the connection of a frame that is too long, before the counter rises.
	assert.Eventually(t, func() bool { return counters.of(countStranger) == 4 }, 3*time.Second, time.Millisecond)
	assert.EqualValues(t, 0, counters.of(countAccepted))
}

func TestConnectionsAreClosedWhenIdleAndMadeAgain(t *testing.T) {
	idle := func(o *Options) { o.Idle = 50 * time.Millisecond }
	a, _ := newMesh(t, "a", idle)
	b, _ := newMesh(t, "b", idle)
	Handle(b, "Text", func(_ context.Context, _ Peer, s string) (string, error) { return s, nil })
	a.Start()
	b.Start()
	introduce(a, b)
	for i := range 2 {
		s, err := Call[string, string](within(t), a, "b", "Text", fmt.Sprint(i))
		require.NoError(t, err)
		assert.Equal(t, fmt.Sprint(i), s)
		require.Eventually(t, func() bool { return a.Connections() == 0 && b.Connections() == 0 }, 3*time.Second, 5*time.Millisecond)
	}
}

func TestNewIncarnationReplacesTheConnection(t *testing.T) {
	b, counters := newMesh(t, "b")
	var seen []uint64
	Handle(b, "Who", func(_ context.Context, p Peer, _ Nothing) (uint64, error) { return p.Incarnation, nil })
	b.Start()
	for i := uint64(1); i <= 2; i++ {
		a, _ := newMesh(t, "a", func(o *Options) { o.Incarnation = i })
		a.Start()
		introduce(a, b)
		n, err := Call[Nothing, uint64](within(t), a, "b", "Who", Nothing{})
		require.NoError(t, err)
		seen = append(seen, n)
	}
	assert.Equal(t, []uint64{1, 2}, seen)
	assert.EqualValues(t, 1, counters.of(countReplaced))
}
