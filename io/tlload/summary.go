package tlload

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoillanding/io/tlcaller"
)

const (
	longest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Summary sums up how a load went; mu guards all of it while the load runs.
type Summary struct {
	mu sync.Mutex
	// Completed counts answers that came to their end.
	Completed int
	// Wrong counts whole answers that differ from what they should be.
	Wrong int
	// Failed counts requests without a whole answer, by error.
	Failed map[string]int
	// Resumes counts streams that went on elsewhere.
	Resumes int
	// Restarts counts requests sent anew before their first token.
	Restarts int
	// Tokens counts all tokens.
	Tokens int
	// Elapsed is how long the load took.
	Elapsed time.Duration

	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

func newSummary() *Summary {
	return &Summary{
		Failed:     map[string]int{},
		firstToken: hdrhistogram.New(1, longest, digits),
		gap:        hdrhistogram.New(1, longest, digits),
	}
}

func (s *Summary) add(r tlcaller.Result, isRight bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Resumes += r.Resumes
	s.Restarts += r.Restarts
	s.Tokens += r.Tokens
	if err != nil {
		s.Failed[err.Error()]++
		return
	}
	s.Completed++
	if !isRight {
		s.Wrong++
	}
	_ = s.firstToken.RecordValue(r.FirstToken.Microseconds())
	_ = s.gap.RecordValue(r.LongestGap.Microseconds())
}

// FailedCount counts the requests without a whole answer.
func (s *Summary) FailedCount() int {
	n := 0
	for _, c := range s.Failed {
		n += c
	}
	return n
}

// Print writes the summary for a person.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d whole, %d wrong, %d failed; %d resumed elsewhere, %d sent anew\n", s.Completed, s.Wrong, s.FailedCount(), s.Resumes, s.Restarts)
	fmt.Fprintf(w, "%d tokens in %s: %.0f tokens/s\n", s.Tokens, s.Elapsed.Round(time.Millisecond), float64(s.Tokens)/s.Elapsed.Seconds())
	printQuantiles(w, "first token", s.firstToken)
	printQuantiles(w, "longest gap", s.gap)
	for e, n := range s.Failed {
		fmt.Fprintf(w, "failed %d times: %s\n", n, e)
	}
}

func printQuantiles(w io.Writer, name string, h *hdrhistogram.Histogram) {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	fmt.Fprintf(w, "%s: p50 %s, p95 %s, p99 %s, most %s\n", name, at(50), at(95), at(99), time.Duration(h.Max())*time.Microsecond)
}
