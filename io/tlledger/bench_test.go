package tlledger

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlplatform"
	"trefoillanding/io/tlstandin"
)

const benchTime = 2 * time.Second

// BenchmarkClaim claims keys at a fixed rate against the stand-in over HTTP, and reports
// the latency until a claim is decided and the number of appends.
func BenchmarkClaim(b *testing.B) {
	for _, streams := range []int{1, 16} {
		for _, rate := range []int{100, 1000} {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
				b.Run(fmt.Sprintf("streams=%d/rate=%d/delay=%s", streams, rate, delay), func(b *testing.B) {
					for range b.N {
						claimAtRate(b, streams, rate, delay)
					}
				})
			}
		}
	}
}

func claimAtRate(b *testing.B, streams, rate int, delay time.Duration) {
	s, err := tlstandin.Listen(tlstandin.AnyPort, tlstandin.NewPlatform(tlstandin.NewPlatformLimits()))
	require.NoError(b, err)
	defer s.Close()
	c := tlplatform.New(s.Address(), time.Second)
	defer c.Close()
	var appends atomic.Int64
	h := NewHome(HomeOptions{
		Log: Log{Append: c.Append, Read: c.Read, Count: func(name string, n int64) {
			if name == CountAppends {
				appends.Add(n)
			}
		}},
		Streams: streams, AppendsPerSecond: 50, BatchDelay: delay,
		ResolveTimeout: 5 * time.Second, IdleTimeout: time.Hour, Now: time.Now,
	})
	defer h.Close()
	digest := tlclaim.NewDigest()
	delays := hdrhistogram.New(1, int64(10*time.Second), 3)
	var mu sync.Mutex
	var failed atomic.Int64
	var all sync.WaitGroup
	begin := time.Now()
	for i := range int(benchTime.Seconds() * float64(rate)) {
		time.Sleep(time.Until(begin.Add(time.Second * time.Duration(i) / time.Duration(rate))))
		all.Go(func() {
			at := time.Now()
			k := strconv.Itoa(i)
			a := h.Claim(context.Background(), tlwire.ClaimCall{Wait: 5 * time.Second, Claim: tlwire.Claim{
				Service: "s", Key: k, Digest: digest[:], Nonce: uint64(i + 1),
			}})
			if a.Kind != tlwire.ClaimAnswerKindHolder {
				failed.Add(1)
			}
			mu.Lock()
			_ = delays.RecordValue(int64(time.Since(at)))
			mu.Unlock()
			_, _ = h.Note(context.Background(), tlwire.ClaimNote{Outcome: &tlwire.Outcome{
				Service: "s", Key: k, Nonce: uint64(i + 1), Answer: &tlwire.StoredAnswer{Status: 201},
			}})
		})
	}
	all.Wait()
	took := time.Since(begin)
	b.ReportMetric(float64(appends.Load())/took.Seconds(), "appends/s")
	b.ReportMetric(float64(delays.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(delays.ValueAtQuantile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(failed.Load()), "refused")
}

// BenchmarkClaimMemory reports the memory that a table takes for each claim.
func BenchmarkClaimMemory(b *testing.B) {
	const n = 100_000
	for range b.N {
		before := heap()
		t := tlclaim.NewTable()
		d := tlclaim.NewDigest()
		for i := range uint64(n) {
			data, _ := tlrecord.Encode(tlwire.Claim{Service: "s", Key: strconv.FormatUint(i, 10), Digest: d[:], Nonce: i})
			t.Apply(tlwire.LogRecord{Offset: i + 1, Time: time.UnixMilli(int64(i)), Data: data})
		}
		b.ReportMetric(float64(heap()-before)/n, "B/claim")
		runtime.KeepAlive(t)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
