package tlorphan_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/goleak"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlorphan"
	"trefoillanding/io/tlstandin"
)

const (
	grace  = 200 * time.Millisecond
	answer = "answer=1000000"
)

func TestMain(m *testing.M) {
	logx.Disable()
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// fixture is the sweeper of a home instance, with a prefill and a decode engine.
type fixture struct {
	*tlstandin.Deployment
	client  *tlengine.Client
	sweeper *tlorphan.Sweeper

	mutex    sync.Mutex
	liveness map[string]tlmember.Liveness
	owned    map[string]bool
	counts   map[string]int64
}

func newFixture(t *testing.T) *fixture {
	return newFixtureWithInterval(t, 100*time.Millisecond)
}

// newFixtureWithInterval sets the time between two lists of an engine in which
// no attempt is due earlier.
func newFixtureWithInterval(t *testing.T, every time.Duration) *fixture {
	s := &fixture{liveness: map[string]tlmember.Liveness{}, owned: map[string]bool{}, counts: map[string]int64{}}
	b := tlstandin.NewBehaviour()
	b.HoldFor = 100 * time.Millisecond
	var err error
	s.Deployment, err = tlstandin.NewDeployment(tlwire.Config{
		Services: []tlwire.Service{{Name: "kiosk-llm", Models: []tlwire.Model{{Name: "menu", Version: "1"}}}},
		Pools: []tlwire.Pool{{Name: "izmir", Service: "kiosk-llm", Engines: []tlwire.Engine{
			{Name: "p", Address: tlstandin.AnyPort, Role: tlwire.RolePrefill},
			{Name: "d", Address: tlstandin.AnyPort, Role: tlwire.RoleDecode},
		}}},
	}, tlstandin.AnyPort, nil, b)
	require.NoError(t, err)
	s.client = tlengine.New(tlengine.NewOptions())
	times := tlorphan.NewTimes()
	times.ListInterval, times.UnreadInterval = every, 100*time.Millisecond
	s.sweeper = tlorphan.New(s.deps(), times, tlsweep.NewLimits(grace))
	x, stop := context.WithCancel(context.Background())
	go s.sweeper.Run(x)
	t.Cleanup(func() {
		stop()
		<-s.sweeper.Done()
		s.client.Close(x)
		s.Close()
	})
	return s
}

func (s *fixture) deps() tlorphan.Deps {
	return tlorphan.Deps{
		Engines: func() []tlwire.Engine { return s.Config().Pools[0].Engines },
		List:    s.client.List,
		Sweep:   s.client.CancelIfOwner,
		Liveness: func(o tlsweep.Owner) tlmember.Liveness {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.liveness[o.Name]
		},
		AskOwner: func(_ context.Context, o tlsweep.Owner, attempts []string) ([]bool, error) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.liveness[o.Name] != tlmember.Alive {
				return nil, errors.New("unreachable")
			}
			v := make([]bool, len(attempts))
			for i, a := range attempts {
				v[i] = s.owned[a]
			}
			return v, nil
		},
		Now: time.Now,
		Count: func(name string, n int64) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.counts[name] += n
		},
	}
}

func (s *fixture) setLiveness(owner string, f tlmember.Liveness) {
	s.mutex.Lock()
	s.liveness[owner] = f
	s.mutex.Unlock()
	s.sweeper.Trigger()
}

func (s *fixture) cancelCount(r tlsweep.Reason) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts[string(r)]
}

// openStream starts a stream for an owner, and waits until the prefill engine has
// released its result.
func (s *fixture) openStream(t *testing.T, owner, attempt, prompt string) *tlengine.Stream {
	a := s.Servers()
	p, err := s.client.Prefill(t.Context(), a["p"], tlwire.PrefillRequest{
		Attempt: attempt, Owner: owner, Model: "menu", Prompt: prompt,
	})
	require.NoError(t, err)
	require.NoError(t, s.client.Import(t.Context(), a["d"], tlwire.ImportRequest{
		Attempt: attempt, Owner: owner, Source: a["p"], Handle: p.Handle, Tokens: p.Tokens, Pieces: 1,
	}, nil))
	d, err := s.client.Decode(t.Context(), a["d"], tlwire.DecodeRequest{
		Attempt: attempt, Stream: attempt, Owner: owner, Model: "menu", MaxTokens: 1 << 20,
	})
	require.NoError(t, err)
	s.waitUntilFreed(t, "p")
	return d
}

// waitUntilFreed waits until an engine holds no memory, and returns how long it took.
func (s *fixture) waitUntilFreed(t *testing.T, engine string) time.Duration {
	began := time.Now()
	require.Eventually(t, func() bool { return s.Engines[engine].PiecesHeld() == 0 }, 5*time.Second, time.Millisecond)
	return time.Since(began)
}

func TestMemoryOfAGoneOwnerIsFreed(t *testing.T) {
	s := newFixture(t)
	d := s.openStream(t, "izmir-1", "a", answer)
	d.Close()
	s.setLiveness("izmir-1", tlmember.Gone)
	took := s.waitUntilFreed(t, "d")
	require.GreaterOrEqual(t, took, grace/2)
	require.Less(t, took, time.Second)
	require.EqualValues(t, 1, s.cancelCount(tlsweep.OwnerGone))
}

func TestQueuedPrefillsOfAGoneOwnerAreFreed(t *testing.T) {
	s := newFixture(t)
	x, leave := context.WithCancel(t.Context())
	var g sync.WaitGroup
	for _, a := range []string{"a", "b", "c"} {
		g.Go(func() {
			_, _ = s.client.Prefill(x, s.Servers()["p"], tlwire.PrefillRequest{
				Attempt: a, Owner: "izmir-1", Model: "menu", Prompt: strings.Repeat(a, 120_000),
			})
		})
	}
	p := s.Engines["p"]
	require.Eventually(t, func() bool { return len(p.Streams()) == 3 }, time.Second, time.Millisecond)
	leave()
	g.Wait()
	s.setLiveness("izmir-1", tlmember.Gone)
	require.Eventually(t, func() bool { return len(p.Streams()) == 0 }, time.Second, time.Millisecond)
	require.Zero(t, p.Prefilled())
}

func TestPausedOwnerLosesItsStreamAndFindsOut(t *testing.T) {
	s := newFixture(t)
	d := s.openStream(t, "izmir-1", "a", answer)
	defer d.Close()
	s.setLiveness("izmir-1", tlmember.Suspected)
	require.Less(t, s.waitUntilFreed(t, "d"), 5*time.Second)
	require.EqualValues(t, 1, s.cancelCount(tlsweep.OwnerPaused))
	var e tlwire.TokenEvent
	for e.Error == "" {
		var err error
		e, err = d.Next()
		require.NoError(t, err)
	}
	require.Equal(t, "Cancelled", e.Error)
	_, err := s.client.Resume(t.Context(), s.Servers()["d"], tlwire.ResumeRequest{Stream: "a", Owner: "izmir-1", FirstIndex: e.Index})
	require.True(t, tlengine.IsUnknown(err))
}

func TestResumedStreamIsNotSwept(t *testing.T) {
	s := newFixture(t)
	d := s.openStream(t, "izmir-1", "a", answer)
	d.Close()
	s.setLiveness("izmir-1", tlmember.Gone)
	r, err := s.client.Resume(t.Context(), s.Servers()["d"], tlwire.ResumeRequest{Stream: "a", Owner: "bodrum-1", FirstIndex: 0})
	require.NoError(t, err)
	defer r.Close()
	// A cancel that was decided before the resume arrives late.
	s.client.CancelIfOwner(s.Servers()["d"], "a", "izmir-1", 0)
	for i := range 50 {
		e, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, tlstandin.Token(answer, i), e.Text)
	}
	require.Zero(t, s.cancelCount(tlsweep.OwnerGone))
}

func TestAttemptsThatTheirOwnerForgotAreFreed(t *testing.T) {
	s := newFixture(t)
	s.owned["kept"] = true
	for _, a := range []string{"kept", "forgotten"} {
		s.openStream(t, "izmir-1", a, answer).Close()
	}
	require.Eventually(t, func() bool { return s.cancelCount(tlsweep.Disowned) == 1 }, 2*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return len(s.Engines["d"].Streams()) == 1 }, time.Second, time.Millisecond)
	require.Equal(t, "kept", s.Engines["d"].Streams()[0].Attempt)
}

func TestSilentEngineDelaysNoOther(t *testing.T) {
	s := newFixture(t)
	s.Engines["p"].Faults().Set(tlwire.Faults{HalfOpen: true})
	time.Sleep(150 * time.Millisecond)
	s.Engines["p"].Faults().Set(tlwire.Faults{})
	s.openStream(t, "izmir-1", "a", answer).Close()
	s.Engines["p"].Faults().Set(tlwire.Faults{HalfOpen: true})
	s.setLiveness("izmir-1", tlmember.Gone)
	require.Less(t, s.waitUntilFreed(t, "d"), time.Second)
}

func TestReportsOfUnreadAttemptsSaveLists(t *testing.T) {
	s := newFixtureWithInterval(t, time.Hour)
	a := s.Servers()["d"]
	report := func() int {
		l, err := s.client.Load(t.Context(), a)
		require.NoError(t, err)
		s.sweeper.HandleLoadReport(a, l)
		return l.Unread
	}
	d := s.openStream(t, "izmir-1", "a", answer)
	require.Zero(t, report())
	time.Sleep(300 * time.Millisecond)
	s.mutex.Lock()
	require.LessOrEqual(t, s.counts[tlorphan.CountListed], int64(2), "at most one list for each engine")
	s.mutex.Unlock()
	d.Close()
	require.Eventually(t, func() bool { return report() == 1 }, time.Second, 5*time.Millisecond)
	require.Less(t, s.waitUntilFreed(t, "d"), time.Second)
	require.EqualValues(t, 1, s.cancelCount(tlsweep.Disowned))
}
