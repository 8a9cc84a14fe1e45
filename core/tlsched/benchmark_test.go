package tlsched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoillanding/core/tlwire"
)

// BenchmarkRequest runs requests from submission to end in a pool that is nearly full.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{14, 100, 1000} {
		b.Run(fmt.Sprint(n, "Engines"), func(b *testing.B) {
			p := tlwire.Pool{Name: "p", LinkBytesPerSecond: 1e10}
			for i := range n {
				e := tlwire.Engine{Name: fmt.Sprint("e", i), Role: tlwire.RoleDecode}
				if i%7 < 2 {
					e.Role = tlwire.RolePrefill
				}
				p.Engines = append(p.Engines, e)
			}
			s := New(p, tlwire.Service{Name: "s"}, nil, rand.New(rand.NewPCG(1, 1)))
			now := start
			var names []string
			for i := range b.N + n*20 {
				if i == n*20 {
					b.ReportAllocs()
					b.ResetTimer()
				}
				now = now.Add(time.Millisecond)
				names = append(names, runToDecode(s, now, i)...)
				if len(names) > n*14 {
					s.Report(now, tlwire.Report{Request: names[0], Kind: tlwire.ReportKindFinished, Tokens: 200})
					names = names[1:]
				}
			}
		})
	}
}

// runToDecode submits a request and carries out all steps up to decoding; it returns the requests that decode.
func runToDecode(s *Scheduler, now time.Time, i int) []string {
	q := submission(fmt.Sprint("r", i))
	q.Organisation = fmt.Sprint("g", i%50)
	q.Blocks = []uint64{uint64(i % 50), uint64(1000 + i%500), uint64(10000 + i), uint64(20000 + i), uint64(30000 + i)}
	q.Arrived, q.Due = now, now.Add(time.Second)
	l := s.Submit(now, q)
	var names []string
	for len(l) > 0 {
		t := l[0]
		l = l[1:]
		r := tlwire.Report{Request: t.Request, Attempt: t.Attempt, HeldFor: time.Second, Tokens: 1500, Bytes: 1e8}
		switch t.Kind {
		case tlwire.StepKindStartPrefill:
			r.Kind = tlwire.ReportKindPrefillDone
		case tlwire.StepKindStartTransfer:
			r.Kind = tlwire.ReportKindTransferDone
			names = append(names, t.Request)
			defer reportDecoding(s, now, r)
		default:
			continue
		}
		l = append(l, s.Report(now, r)...)
	}
	return names
}

// reportDecoding reports the progress of an answer of 200 tokens.
func reportDecoding(s *Scheduler, now time.Time, r tlwire.Report) {
	r.Kind = tlwire.ReportKindProgress
	for r.Tokens = 50; r.Tokens < 200; r.Tokens += 50 {
		now = now.Add(time.Millisecond)
		s.Report(now, r)
	}
}

// BenchmarkWaiting submits and cancels a request while 10,000 others wait.
func BenchmarkWaiting(b *testing.B) {
	s := newScheduler()
	s.bounds.QueueLength = 20000
	s.bounds.QueueWait = time.Hour * 1000
	for i := range 10000 {
		q := submission(fmt.Sprint("w", i))
		q.Organisation = fmt.Sprint("g", i%400)
		s.Submit(start, q)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		q := submission(fmt.Sprint("r", i))
		q.Organisation = fmt.Sprint("g", i%400)
		s.Submit(start, q)
		s.Report(start, tlwire.Report{Request: q.Request, Kind: tlwire.ReportKindCancelled})
	}
}
