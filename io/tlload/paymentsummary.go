package tlload

import (
	"fmt"
	"io"
	"time"
)

// PaymentSummary compares the verdicts that callers got with what endpoints ran.
type PaymentSummary struct {
	// Answered counts calls whose caller got the endpoint's answer.
	Answered int
	// NotRun counts calls whose caller got no other verdict than NotRun.
	NotRun int
	// MayHaveRun counts the other calls.
	MayHaveRun int
	// Ran counts calls that ran.
	Ran int
	// RanMoreThanOnce counts calls that ran more than once.
	RanMoreThanOnce int
	// FalseNotRun counts calls that ran although every verdict was NotRun.
	FalseNotRun int
	// FalseAnswers counts calls that were answered but did not run.
	FalseAnswers int
	// Sends counts the requests sent for all calls.
	Sends int
	// Elapsed is the duration of the load.
	Elapsed time.Duration
}

func summarisePayments(payments []payment, runs map[string]int) *PaymentSummary {
	s := &PaymentSummary{}
	for _, p := range payments {
		n := runs[p.key]
		s.Sends += p.answered + p.notRun + p.mayHaveRun
		if n > 0 {
			s.Ran++
		}
		if n > 1 {
			s.RanMoreThanOnce++
		}
		switch {
		case p.answered > 0:
			s.Answered++
			if n == 0 {
				s.FalseAnswers++
			}
		case p.mayHaveRun == 0:
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

// IsCorrect reports whether no call ran more than once and every verdict was true.
func (s *PaymentSummary) IsCorrect() bool {
	return s.RanMoreThanOnce == 0 && s.FalseNotRun == 0 && s.FalseAnswers == 0
}

// Print writes the summary as readable text.
func (s *PaymentSummary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d answered, %d NotRun, %d MayHaveRun; %d requests in %s\n",
		s.Answered, s.NotRun, s.MayHaveRun, s.Sends, s.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(w, "%d ran, %d ran twice, %d NotRun that ran, %d answered that did not run\n",
		s.Ran, s.RanMoreThanOnce, s.FalseNotRun, s.FalseAnswers)
}
