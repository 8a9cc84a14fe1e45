package tlengine_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlstandin"
)

// openers is how many streams are opened at once.
const openers = 64

// BenchmarkOpenStreams reads many streams of one process's engine, each at a
// token every 30 ms, and tells what a token and an open stream cost both sides
// together.
func BenchmarkOpenStreams(b *testing.B) {
	for _, n := range []int{500, 2_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { readStreams(b, n) })
	}
}

func readStreams(b *testing.B, n int) {
	h := newBench(b, func(s *tlstandin.Behaviour, o *tlengine.Options) {
		s.TokenEvery = 30 * time.Millisecond
		s.PrefillBase, s.PrefillTokensPerSecond = 0, 1e9
		s.PiecesTotal, s.LinkBytesPerSecond = 2*n, 1e15
		s.HoldFor = 10 * time.Second
		o.TokenStall, o.ImportStall = 10*time.Second, 10*time.Second
	})
	before := memory()
	streams := openStreams(b, h, n)
	perStream := float64(memory()-before) / float64(n)
	var tokens atomic.Int64
	x, stop := context.WithCancel(b.Context())
	var g sync.WaitGroup
	for _, s := range streams {
		g.Go(func() {
			defer s.Close()
			for x.Err() == nil {
				if _, err := s.Next(); err != nil {
					return
				}
				tokens.Add(1)
			}
		})
	}
	b.ResetTimer()
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	t0, c0 := tokens.Load(), processorTime(b)
	began := time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	took, got := time.Since(began), float64(tokens.Load()-t0)
	runtime.ReadMemStats(&m1)
	b.ReportMetric(got/took.Seconds(), "tokens/s")
	b.ReportMetric(float64(processorTime(b)-c0)/got, "cpu-ns/token")
	b.ReportMetric(float64(m1.Mallocs-m0.Mallocs)/got, "allocs/token")
	b.ReportMetric(perStream, "B/stream")
	stop()
	h.Engines["d"].Kill()
	g.Wait()
}

func openStreams(b *testing.B, h *bench, n int) []*tlengine.Stream {
	streams := make([]*tlengine.Stream, n)
	errs := make([]error, n)
	todo := make(chan int)
	var g sync.WaitGroup
	for range openers {
		g.Go(func() {
			for i := range todo {
				streams[i], errs[i] = h.try(b.Context(), fmt.Sprint("a", i), "answer=1000000")
			}
		})
	}
	for i := range n {
		todo <- i
	}
	close(todo)
	g.Wait()
	for _, err := range errs {
		require.NoError(b, err)
	}
	return streams
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
