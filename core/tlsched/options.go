package tlsched

import "time"

// Options switches the mechanisms of a scheduler on or off and sets their sizes.
type Options struct {
	// Fair schedules organisations by the cost of what they got so far; otherwise all count as one.
	Fair bool
	// Slack orders an organisation's requests by slack; otherwise by arrival.
	Slack bool
	// LateLane queues requests that can't meet their target separately, so that they don't delay those that can.
	LateLane bool
	// Admission refuses requests whose predicted wait is too long.
	Admission bool
	// Spill refuses requests that would miss their target here if their owner may try another pool.
	Spill bool
	// Reserve reserves decode memory before a prefill starts.
	Reserve bool
	// Speculate starts prefills without a reservation when decode memory will probably be free in time.
	Speculate bool
	// PrefixAffinity prefers engines that probably cache a prefix of the prompt.
	PrefixAffinity bool
	// WeighLinks takes the load of the links into account when a decode engine is chosen.
	WeighLinks bool
	// RetryTransfer sends a prefill result that is still held to another engine when its transfer fails.
	RetryTransfer bool
	// EstimateLengths learns the lengths of answers; otherwise AssumedAnswer is used.
	EstimateLengths bool
	// RetryBudget puts retries beyond their share of fresh work into the late lane.
	RetryBudget bool
	// LimitStreams limits the streams of an engine so that the target between tokens is met.
	LimitStreams bool
	// Suspend gives an engine no work for SuspendFor after it failed.
	Suspend bool
	// Preempt moves a stream to another engine when answers have outgrown an engine's memory.
	Preempt bool

	// PrefillDepth is the maximum number of prefills given to one engine at once.
	PrefillDepth int
	// PrefillLead is how long before an engine becomes idle it is given its next prefill.
	PrefillLead time.Duration
	// MaxStreams is the maximum number of streams on one decode engine, whatever the estimate says.
	MaxStreams int
	// AssumedPieces is the memory, in pieces, of an engine that has not sent a load report yet.
	AssumedPieces int
	// AssumedAnswer is the length of an answer, in tokens, before any has ended.
	AssumedAnswer int
	// AnswerQuantile is the share of answers whose full length fits in the memory reserved.
	AnswerQuantile float64
	// CostPenalty is how many seconds later a request is ranked for each second of the whole pool that it costs.
	CostPenalty float64
	// LateShare is the share of the pool that late requests get while on-time requests wait.
	LateShare float64
	// LateReserve is the share of decode memory that late requests leave free.
	LateReserve float64
	// ShareReserve is the share of decode memory that organisations above their own share leave free.
	ShareReserve float64
	// LookAhead is the number of requests that find no memory after which a pass over a
	// lane stops; with 1 none is overtaken.
	LookAhead int
	// MaxAttempts is the maximum number of attempts at one request.
	MaxAttempts int
	// RetryBurst is the retry work that the budget may save up, in seconds of one prefill engine.
	RetryBurst float64
	// HoldMargin is how long before its expiry a prefill result is given up.
	HoldMargin time.Duration
	// SlackMargin is how long before its target a request's first token is planned.
	SlackMargin time.Duration
	// SuspendFor is how long an engine gets no work after a failure; it doubles with each consecutive failure.
	SuspendFor time.Duration
}

// DefaultOptions returns the options that New uses.
func DefaultOptions() Options {
	return Options{
		Fair:            true,
		Slack:           true,
		LateLane:        true,
		Admission:       true,
		Spill:           true,
		Reserve:         true,
		Speculate:       true,
		PrefixAffinity:  true,
		WeighLinks:      true,
		RetryTransfer:   true,
		EstimateLengths: true,
		RetryBudget:     true,
		LimitStreams:    true,
		Suspend:         true,
		Preempt:         true,

		PrefillDepth:   2,
		PrefillLead:    10 * time.Millisecond,
		MaxStreams:     64,
		AssumedPieces:  40,
		AssumedAnswer:  300,
		AnswerQuantile: 0.7,
		CostPenalty:    1,
		ShareReserve:   0.05,
		LateShare:      0.01,
		LateReserve:    0.3,
		LookAhead:      4,
		MaxAttempts:    6,
		RetryBurst:     4,
		HoldMargin:     20 * time.Millisecond,
		SlackMargin:    10 * time.Millisecond,
		SuspendFor:     200 * time.Millisecond,
	}
}
