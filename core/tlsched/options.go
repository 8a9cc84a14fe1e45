package tlsched

import "time"

// Options switch the mechanisms of a scheduler and set their sizes.
type Options struct {
	// Fair orders organisations by what they got; otherwise all count as one.
	Fair bool
	// Slack orders an organisation's requests by slack; otherwise by arrival.
	Slack bool
	// LateLane keeps requests that can't meet their target from delaying those that can.
	LateLane bool
	// Admission refuses requests whose predicted wait is too long.
	Admission bool
	// Spill refuses requests that would miss their target here while their owner may ask another pool.
	Spill bool
	// Reserve takes decode memory before a prefill starts.
	Reserve bool
	// Bet starts prefills on memory that is about to be freed.
	Bet bool
	// PrefixAffinity prefers engines that probably cache the prompt.
	PrefixAffinity bool
	// Links weighs the load of the links when a decode engine is chosen.
	Links bool
	// SecondChoice sends a living prefill result elsewhere when its transfer fails.
	SecondChoice bool
	// Estimate learns the lengths of answers; otherwise AssumedAnswer counts.
	Estimate bool
	// RetryBudget makes retries beyond their share of fresh work wait among the late.
	RetryBudget bool
	// LimitStreams bounds the streams of an engine so that the time between tokens holds.
	LimitStreams bool
	// Suspend gives an engine no work for a time after it failed.
	Suspend bool
	// Shed moves a stream away when answers have outgrown an engine's memory.
	Shed bool

	// PrefillDepth is the most prefills given to one engine at once.
	PrefillDepth int
	// PrefillLead is how long before an engine is idle it is given its next prefill.
	PrefillLead time.Duration
	// MostStreams is the most streams on one decode engine whatever the estimate says.
	MostStreams int
	// AssumedPieces is the memory of an engine that has not reported yet.
	AssumedPieces int
	// AssumedAnswer is the length of an answer, in tokens, before any has ended.
	AssumedAnswer int
	// AnswerQuantile is the share of answers that memory is reserved for in full.
	AnswerQuantile float64
	// CostRank is how many seconds a request is put off for each second of the whole pool that it costs.
	CostRank float64
	// LateShare is the part of the pool that late requests get while others wait.
	LateShare float64
	// LateReserve is the part of decode memory that late requests leave free.
	LateReserve float64
	// ShareReserve is the part of decode memory that organisations above their share leave free.
	ShareReserve float64
	// LookAhead is how many blocked requests others may overtake.
	LookAhead int
	// Attempts is the most attempts at one request.
	Attempts int
	// RetryBurst is the work of retries, in seconds of one prefill engine, that may be saved up.
	RetryBurst float64
	// HoldMargin is how long before a prefill result lapses it is given up.
	HoldMargin time.Duration
	// SlackMargin is kept free before a request's target.
	SlackMargin time.Duration
	// SuspendFor is how long an engine gets no work after a failure; it doubles with each further one.
	SuspendFor time.Duration
}

// DefaultOptions returns the options that New uses.
func DefaultOptions() Options {
	return Options{
		Fair:           true,
		Slack:          true,
		LateLane:       true,
		Admission:      true,
		Spill:          true,
		Reserve:        true,
		Bet:            true,
		PrefixAffinity: true,
		Links:          true,
		SecondChoice:   true,
		Estimate:       true,
		RetryBudget:    true,
		LimitStreams:   true,
		Suspend:        true,
		Shed:           true,

		PrefillDepth:   2,
		PrefillLead:    10 * time.Millisecond,
		MostStreams:    64,
		AssumedPieces:  40,
		AssumedAnswer:  300,
		AnswerQuantile: 0.7,
		CostRank:       1,
		ShareReserve:   0.05,
		LateShare:      0.01,
		LateReserve:    0.3,
		LookAhead:      4,
		Attempts:       6,
		RetryBurst:     4,
		HoldMargin:     20 * time.Millisecond,
		SlackMargin:    10 * time.Millisecond,
		SuspendFor:     200 * time.Millisecond,
	}
}
