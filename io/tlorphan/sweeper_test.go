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

// site is a home's sweeper before a prefill and a decode engine.
type site struct {
	*tlstandin.Deployment
	client  *tlengine.Client
	sweeper *tlorphan.Sweeper

	mutex  sync.Mutex
	fates  map[string]tlmember.Liveness
	owned  map[string]bool
	counts map[string]int64
}

func newSite(t *testing.T) *site {
	return newSiteWith(t, 100*time.Millisecond)
}

// newSiteWith lists engines at which all is well so often.
func newSiteWith(t *testing.T, every time.Duration) *site {
	s := &site{fates: map[string]tlmember.Liveness{}, owned: map[string]bool{}, counts: map[string]int64{}}
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

func (s *site) deps() tlorphan.Deps {
	return tlorphan.Deps{
		Engines: func() []tlwire.Engine { return s.Config().Pools[0].Engines },
		List:    s.client.List,
		Sweep:   s.client.CancelIfOwner,
		Liveness: func(o tlsweep.Owner) tlmember.Liveness {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.fates[o.Name]
		},
		AskOwner: func(_ context.Context, o tlsweep.Owner, attempts []string) ([]bool, error) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.fates[o.Name] != tlmember.Alive {
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

func (s *site) set(owner string, f tlmember.Liveness) {
	s.mutex.Lock()
	s.fates[owner] = f
	s.mutex.Unlock()
	s.sweeper.Trigger()
}

func (s *site) counted(r tlsweep.Reason) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts[string(r)]
}

// open starts a stream for an owner, and waits until its prefill result has lapsed.
func (s *site) open(t *testing.T, owner, attempt, prompt string) *tlengine.Stream {
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
	s.freed(t, "p")
	return d
}

// freed waits until an engine holds nothing, and returns how long it took.
func (s *site) freed(t *testing.T, engine string) time.Duration {
	began := time.Now()
	require.Eventually(t, func() bool { return s.Engines[engine].PiecesHeld() == 0 }, 5*time.Second, time.Millisecond)
	return time.Since(began)
}

func TestMemoryOfAGoneOwnerIsFreed(t *testing.T) {
	s := newSite(t)
	d := s.open(t, "izmir-1", "a", answer)
	d.Close()
	s.set("izmir-1", tlmember.Gone)
	took := s.freed(t, "d")
	require.GreaterOrEqual(t, took, grace/2)
	require.Less(t, took, time.Second)
	require.EqualValues(t, 1, s.counted(tlsweep.OwnerGone))
}

func TestQueuedPrefillsOfAGoneOwnerAreFreed(t *testing.T) {
	s := newSite(t)
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
	s.set("izmir-1", tlmember.Gone)
	require.Eventually(t, func() bool { return len(p.Streams()) == 0 }, time.Second, time.Millisecond)
	require.Zero(t, p.Prefilled())
}

func TestPausedOwnerLosesItsStreamAndFindsOut(t *testing.T) {
	s := newSite(t)
	d := s.open(t, "izmir-1", "a", answer)
	defer d.Close()
	s.set("izmir-1", tlmember.Suspected)
	require.Less(t, s.freed(t, "d"), 5*time.Second)
	require.EqualValues(t, 1, s.counted(tlsweep.OwnerPaused))
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
	s := newSite(t)
	d := s.open(t, "izmir-1", "a", answer)
	d.Close()
	s.set("izmir-1", tlmember.Gone)
	r, err := s.client.Resume(t.Context(), s.Servers()["d"], tlwire.ResumeRequest{Stream: "a", Owner: "bodrum-1", FirstIndex: 0})
	require.NoError(t, err)
	defer r.Close()
	// A sweep that was decided before the resume comes late.
	s.client.CancelIfOwner(s.Servers()["d"], "a", "izmir-1", 0)
	for i := range 50 {
		e, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, tlstandin.Token(answer, i), e.Text)
	}
	require.Zero(t, s.counted(tlsweep.OwnerGone))
}

func TestAttemptsThatTheirOwnerForgotAreFreed(t *testing.T) {
	s := newSite(t)
	s.owned["kept"] = true
	for _, a := range []string{"kept", "forgotten"} {
		s.open(t, "izmir-1", a, answer).Close()
	}
	require.Eventually(t, func() bool { return s.counted(tlsweep.Disowned) == 1 }, 2*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return len(s.Engines["d"].Streams()) == 1 }, time.Second, time.Millisecond)
	require.Equal(t, "kept", s.Engines["d"].Streams()[0].Attempt)
}

func TestSilentEngineDelaysNoOther(t *testing.T) {
	s := newSite(t)
	s.Engines["p"].Faults().Set(tlwire.Faults{HalfOpen: true})
	time.Sleep(150 * time.Millisecond)
	s.Engines["p"].Faults().Set(tlwire.Faults{})
	s.open(t, "izmir-1", "a", answer).Close()
	s.Engines["p"].Faults().Set(tlwire.Faults{HalfOpen: true})
	s.set("izmir-1", tlmember.Gone)
	require.Less(t, s.freed(t, "d"), time.Second)
}

func TestReportsOfUnreadAttemptsSaveLists(t *testing.T) {
	s := newSiteWith(t, time.Hour)
	a := s.Servers()["d"]
	report := func() int {
		l, err := s.client.Load(t.Context(), a)
		require.NoError(t, err)
		s.sweeper.HandleLoadReport(a, l)
		return l.Unread
	}
	d := s.open(t, "izmir-1", "a", answer)
	require.Zero(t, report())
	time.Sleep(300 * time.Millisecond)
	s.mutex.Lock()
	require.LessOrEqual(t, s.counts[tlorphan.CountListed], int64(2), "once for each engine")
	s.mutex.Unlock()
	d.Close()
	require.Eventually(t, func() bool { return report() == 1 }, time.Second, 5*time.Millisecond)
	require.Less(t, s.freed(t, "d"), time.Second)
	require.EqualValues(t, 1, s.counted(tlsweep.Disowned))
}
