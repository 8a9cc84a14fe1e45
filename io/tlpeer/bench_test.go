package tlpeer

import (
	"context"
	"io"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
)

// newPair sets up two meshes that know each other, the second of which signals the
// reports it handles on handled, and returns the first.
func newPair(b *testing.B, handled chan<- struct{}) *Mesh {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var meshes []*Mesh
	for _, name := range []string{"a", "b"} {
		m, err := New(Options{
			Name: name, Incarnation: 1, DataCentre: "d", Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Heartbeat: time.Second, SuspectAfter: 3 * time.Second, Idle: time.Minute,
			Now: time.Now, Log: logrus.NewEntry(log), Add: func(string, int64) {},
		})
		require.NoError(b, err)
		b.Cleanup(func() {
			m.Close()
			<-m.Done()
		})
		Handle(m, "Submit", func(context.Context, Peer, tlwire.Submission) (Empty, error) { return Empty{}, nil })
		Handle(m, "Report", func(context.Context, Peer, tlwire.Report) (Empty, error) {
			handled <- struct{}{}
			return Empty{}, nil
		})
		m.Start()
		meshes = append(meshes, m)
	}
	setInstances(meshes...)
	return meshes[0]
}

func reportCPU(b *testing.B, since time.Duration) {
	b.ReportMetric(float64((cpuTime()-since).Microseconds())/float64(b.N), "cpu-us/op")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkCall(b *testing.B) {
	m := newPair(b, nil)
	s := tlwire.Submission{Pool: "kiosk-llm-izmir", Request: "0193-request", Owner: "a", Organisation: "o", Model: "m", Due: time.Now(), Arrived: time.Now()}
	ctx := context.Background()
	since := cpuTime()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call[tlwire.Submission, Empty](ctx, m, "b", "Submit", s); err != nil {
			b.Fatal(err)
		}
	}
	reportCPU(b, since)
}

func BenchmarkSend(b *testing.B) {
	handled := make(chan struct{}, 1)
	m := newPair(b, handled)
	r := tlwire.Report{Pool: "kiosk-llm-izmir", Request: "0193-request", Attempt: "0193-request/1", Kind: tlwire.ReportKindProgress, Tokens: 17}
	ctx := context.Background()
	since := cpuTime()
	b.ReportAllocs()
	for b.Loop() {
		if err := Send(ctx, m, "b", "Report", r); err != nil {
			b.Fatal(err)
		}
		<-handled
	}
	reportCPU(b, since)
}
