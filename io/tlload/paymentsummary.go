package tlload

import (
	"fmt"
	"io"
	"time"
)

// PaymentSummary compares what callers were told with what endpoints ran.
type PaymentSummary struct {
	// Answered counts calls whose caller got the endpoint's answer.
	Answered int
	// NotRun counts calls whose caller was told nothing but NotRun.
	NotRun int
	// MayHaveRun counts the other calls.
	MayHaveRun int
	// Ran counts calls that ran.
	Ran int
	// Twice counts calls that ran more than once.
	Twice int
	// FalseNotRun counts calls that were told nothing but NotRun and ran.
	FalseNotRun int
	// FalseAnswers counts calls that were answered and did not run.
	FalseAnswers int
	// Sends counts the requests of all calls.
	Sends int
	// Elapsed is how long the load took.
	Elapsed time.Duration
}

func sumUp(payments []payment, runs map[string]int) *PaymentSummary {
	s := &PaymentSummary{}
	for _, p := range payments {
		n := runs[p.key]
		s.Sends += p.answered + p.notRun + p.unknown
		if n > 0 {
			s.Ran++
		}
		if n > 1 {
			s.Twice++
		}
		switch {
		case p.answered > 0:
			s.Answered++
			if n == 0 {
				s.FalseAnswers++
			}
		case p.unknown == 0:
			s.NotRun++
			if n > 0 {
				s.FalseNotRun++
			}
		default:
			s.MayHaveRun++
		}
	}
	return s
}

// IsCorrect says whether nothing ran twice and everything that was told is true.
func (s *PaymentSummary) IsCorrect() bool {
	return s.Twice == 0 && s.FalseNotRun == 0 && s.FalseAnswers == 0
}

// Print writes the summary for a person.
func (s *PaymentSummary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d answered, %d NotRun, %d MayHaveRun; %d requests in %s\n",
		s.Answered, s.NotRun, s.MayHaveRun, s.Sends, s.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(w, "%d ran, %d ran twice, %d NotRun that ran, %d answered that did not run\n",
		s.Ran, s.Twice, s.FalseNotRun, s.FalseAnswers)
}
