package tlstandin

import "time"

// Behaviour sets how fast and how large a stand-in engine is.
type Behaviour struct {
	// TokenEvery is the time between two tokens of a stream.
	TokenEvery time.Duration
	// PrefillTokensPerSecond is the rate of prefill.
	PrefillTokensPerSecond float64
	// PrefillBase is added to each prefill.
	PrefillBase time.Duration
	// HoldFor is how long a prefill result is kept.
	HoldFor time.Duration
	// ImportedFor is how long an imported cache waits for its stream to start.
	ImportedFor time.Duration
	// FinishedFor is how long a finished stream can still be read again.
	FinishedFor time.Duration
	// Linger is how long an answer stays open after its last line.
	Linger time.Duration
	// PiecesTotal is the memory, in pieces.
	PiecesTotal int
	// PieceTokens is the size of a piece.
	PieceTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int64
	// LinkBytesPerSecond is the rate of the link into the engine.
	LinkBytesPerSecond int64
	// CacheBlocks is the size of the prefix cache, in blocks.
	CacheBlocks int
	// LoadTime is how long a model takes to load.
	LoadTime time.Duration
	// Length returns how many tokens the answer to a prompt has.
	Length func(prompt string) int
}

// NewBehaviour returns the behaviour of an ordinary small engine.
func NewBehaviour() Behaviour {
	return Behaviour{
		TokenEvery:             20 * time.Millisecond,
		PrefillTokensPerSecond: 20_000,
		PrefillBase:            5 * time.Millisecond,
		HoldFor:                800 * time.Millisecond,
		ImportedFor:            5 * time.Second,
		FinishedFor:            30 * time.Second,
		PiecesTotal:            40,
		PieceTokens:            2_000,
		BytesPerToken:          100_000,
		LinkBytesPerSecond:     10_000_000_000,
		CacheBlocks:            4_096,
		LoadTime:               200 * time.Millisecond,
		Length:                 Length,
	}
}

func (b Behaviour) pieces(tokens int) int {
	return (tokens + b.PieceTokens - 1) / b.PieceTokens
}

func (b Behaviour) prefillTime(tokens int) time.Duration {
	return b.PrefillBase + time.Duration(float64(tokens)/b.PrefillTokensPerSecond*float64(time.Second))
}
