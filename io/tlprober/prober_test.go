package tlprober

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"go.uber.org/goleak"

	"trefoillanding/core/tlendpoint"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testTimeout is how long tests wait for an expected condition; far above the time that it takes.
const testTimeout = 5 * time.Second

// testNetwork is the way to a number of endpoints.
type testNetwork struct {
	endpoints int
	// refused and silent tell which endpoints refuse connections or give no word.
	refused, silent func(id string) bool
	isCut           atomic.Bool
	dials           atomic.Int32
	quiet           atomic.Int64
}

func (n *testNetwork) dial(ctx context.Context, e tlendpoint.Endpoint) error {
	n.dials.Add(1)
	switch {
	case n.refused != nil && n.refused(e.ID):
		return errors.New("refused")
	case n.isCut.Load() || n.silent != nil && n.silent(e.ID):
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// isDoubted reports whether an endpoint is known to refuse.
func (n *testNetwork) isDoubted(id string) bool { return n.refused != nil && n.refused(id) }

func (n *testNetwork) list() []tlendpoint.Endpoint {
	var list []tlendpoint.Endpoint
	for k := range n.endpoints {
		list = append(list, tlendpoint.Endpoint{ID: fmt.Sprint(k)})
	}
	return list
}

func newProber(t *testing.T, n *testNetwork) *Prober {
	l := logrus.New()
	l.SetOutput(io.Discard)
	p := New(Options{
		Services:  func() []string { return []string{"s"} },
		Endpoints: func(string) []tlendpoint.Endpoint { return n.list() }, IsDoubted: n.isDoubted, Dial: n.dial,
		QuietFor: func() time.Duration { return time.Duration(n.quiet.Load()) },
		OnChange: func(string, bool) {}, Now: time.Now, Random: rand.New(rand.NewPCG(1, 2)),
		Log: logrus.NewEntry(l), Count: func(string) {},
	})
	ctx, stop := context.WithCancel(context.Background())
	go p.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-p.Done()
	})
	return p
}

func all(string) bool { return true }

func TestEndpointsThatFailAreTakenForACut(t *testing.T) {
	cases := []struct {
		name    string
		network *testNetwork
		isCut   bool
	}{
		{"1 all are reached", &testNetwork{endpoints: 12}, false},
		{"2 none is listed", &testNetwork{}, false},
		{"3 half are silent", &testNetwork{endpoints: 12, silent: func(id string) bool { return id < "5" }}, false},
		{"4 half refuse", &testNetwork{endpoints: 12, refused: func(id string) bool { return id < "5" }}, false},
		{"5 all are silent", &testNetwork{endpoints: 12, silent: all}, true},
		{"6 all refuse", &testNetwork{endpoints: 12, refused: all}, true},
		{"7 the only one is silent", &testNetwork{endpoints: 1, silent: all}, false},
		{"8 all but one of many refuse", &testNetwork{endpoints: 60, refused: func(id string) bool { return id != "7" }}, false},
		{"9 one of two is silent", &testNetwork{endpoints: 2, silent: func(id string) bool { return id == "0" }}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newProber(t, c.network)
			began := time.Now()
			assert.Equal(t, c.isCut, p.Check(context.Background(), "s"))
			assert.Less(t, time.Since(began), time.Second)
		})
	}
}

func TestManyWhoAskAtOnceDialOnce(t *testing.T) {
	n := &testNetwork{endpoints: 12}
	n.isCut.Store(true)
	p := newProber(t, n)
	var asking sync.WaitGroup
	for range 50 {
		asking.Go(func() { assert.True(t, p.Check(context.Background(), "s")) })
	}
	asking.Wait()
	assert.LessOrEqual(t, int(n.dials.Load()), 24)
}

func TestOwnPathIsNotUsedAgainOnceItIsBack(t *testing.T) {
	n := &testNetwork{endpoints: 3}
	n.isCut.Store(true)
	p := newProber(t, n)
	assert.True(t, p.Check(context.Background(), "s"))
	select {
	case <-p.Cut("s"):
	default:
		t.Error("those who wait for a cut are not told")
	}
	n.isCut.Store(false)
	back := time.Now()
	assert.Eventually(t, func() bool { return !p.IsCut("s") }, testTimeout, 5*time.Millisecond)
	assert.Less(t, time.Since(back), time.Second)
}

func TestCutThatOnlySilenceShowsIsNotNoticed(t *testing.T) {
	n := &testNetwork{endpoints: 3}
	p := newProber(t, n)
	n.isCut.Store(true)
	n.quiet.Store(int64(time.Second))
	assert.Eventually(t, func() bool { return p.IsCut("s") }, testTimeout, 5*time.Millisecond)
}

func TestCallerWhoLeavesEndsTheRoundOfOthers(t *testing.T) {
	n := &testNetwork{endpoints: 3}
	n.isCut.Store(true)
	p := newProber(t, n)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	p.Check(ctx, "s")
	assert.True(t, p.Check(context.Background(), "s"))
}
