package tlengine_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlstandin"
)

const (
	// concurrentOpens is how many streams are opened concurrently.
	concurrentOpens = 64
	// streamsPerEngine is how many streams each decode engine runs, the number that an engine's memory holds.
	streamsPerEngine = 20
	// timerInterval is the sleep of the timer measured beside the streams.
	timerInterval = 5 * time.Millisecond
	// settleTime is how long the streams run before measuring starts.
	settleTime = 500 * time.Millisecond
)

// BenchmarkOpenStreams reads many streams from engines in the same process and reports
// the cost of a token and of an open stream, for client and engines together.
func BenchmarkOpenStreams(b *testing.B) {
	for _, c := range []struct {
		streams int
		every   time.Duration
	}{
		{500, 30 * time.Millisecond},
		{2_000, 30 * time.Millisecond},
		{9_000, 500 * time.Millisecond},
	} {
		b.Run(fmt.Sprint(c.streams), func(b *testing.B) { readStreams(b, c.streams, c.every) })
	}
}

func readStreams(b *testing.B, n int, every time.Duration) {
	h := newHarnessWithDecoders(b, n/streamsPerEngine, func(s *tlstandin.Behaviour, o *tlengine.Options) {
		s.TokenEvery = every
		s.PrefillBase, s.PrefillTokensPerSecond = 0, 1e9
		s.PiecesTotal, s.LinkBytesPerSecond = 2*n, 1e15
		s.BytesPerToken = 1
		s.HoldFor = 10 * time.Second
		o.TokenStallTimeout, o.ImportStallTimeout = 10*time.Second, 10*time.Second
	})
	before := memoryInUse()
	streams := openStreams(b, h, n)
	perStream := float64(memoryInUse()-before) / float64(n)
	x, stop := context.WithCancel(b.Context())
	reads := make([]*streamReader, n)
	var g sync.WaitGroup
	for i, s := range streams {
		reads[i] = &streamReader{stream: s, every: every, delays: hdrhistogram.New(1, int64(time.Minute), 3)}
		g.Go(func() { reads[i].run(x) })
	}
	time.Sleep(settleTime)
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	timer := make(chan *hdrhistogram.Histogram)
	go func() { timer <- timerDelays(x) }()
	t0, c0, began := totalTokens(reads), processorTime(b), time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	took, got, used := time.Since(began), float64(totalTokens(reads)-t0), processorTime(b)-c0
	runtime.ReadMemStats(&m1)
	stop()
	late := <-timer
	for _, e := range h.Engines {
		e.Kill()
	}
	g.Wait()
	b.ReportMetric(got/took.Seconds(), "tokens/s")
	b.ReportMetric(float64(used)/got, "cpu-ns/token")
	b.ReportMetric(float64(m1.Mallocs-m0.Mallocs)/got, "allocs/token")
	b.ReportMetric(perStream, "B/stream")
	b.ReportMetric(float64(late.ValueAtQuantile(99))/1e3, "timer-p99-µs")
	d := hdrhistogram.New(1, int64(time.Minute), 3)
	for _, r := range reads {
		d.Merge(r.delays)
	}
	b.ReportMetric(float64(d.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(d.ValueAtQuantile(99))/1e3, "p99-µs")
}

// timerDelays measures how late the machine wakes a goroutine that only waits
// for a timer: the part of the delays that no reader can avoid.
func timerDelays(x context.Context) *hdrhistogram.Histogram {
	d := hdrhistogram.New(1, int64(time.Minute), 3)
	for x.Err() == nil {
		due := time.Now().Add(timerInterval)
		time.Sleep(timerInterval)
		_ = d.RecordValue(int64(time.Since(due)))
	}
	return d
}

// streamReader measures the delay of each token of a stream, relative to the
// least delayed one and assuming that tokens are produced at equal intervals.
type streamReader struct {
	stream  *tlengine.Stream
	every   time.Duration
	tokens  atomic.Int64
	offsets []time.Duration
	delays  *hdrhistogram.Histogram
}

func (r *streamReader) run(x context.Context) {
	defer r.stream.Close()
	began := time.Now()
	for x.Err() == nil {
		e, err := r.stream.Next()
		if err != nil {
			break
		}
		r.tokens.Add(1)
		t := time.Since(began)
		if t > settleTime {
			r.offsets = append(r.offsets, t-time.Duration(e.Index)*r.every)
		}
	}
	if len(r.offsets) == 0 {
		return
	}
	least := slices.Min(r.offsets)
	for _, o := range r.offsets {
		_ = r.delays.RecordValue(int64(o - least))
	}
}

func totalTokens(reads []*streamReader) int64 {
	n := int64(0)
	for _, r := range reads {
		n += r.tokens.Load()
	}
	return n
}

func openStreams(b *testing.B, h *harness, n int) []*tlengine.Stream {
	streams := make([]*tlengine.Stream, n)
	errs := make([]error, n)
	todo := make(chan int)
	var g sync.WaitGroup
	for range concurrentOpens {
		g.Go(func() {
			for i := range todo {
				at := "d"
				if e := i / streamsPerEngine; e > 0 {
					at = fmt.Sprint("d", e)
				}
				streams[i], errs[i] = h.withDecoder(at).start(b.Context(), fmt.Sprint("a", i), "answer=1000000")
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

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
