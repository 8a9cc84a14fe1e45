package tlconfig

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Defaults for fields that a service or pool does not set.
const (
	defaultFirstToken         = 330 * time.Millisecond
	defaultBetweenTokens      = 30 * time.Millisecond
	defaultQueueWait          = 10 * time.Second
	defaultQueueLength        = 1000
	defaultMaxTokens          = 4096
	defaultPromptTokens       = 100_000
	defaultRetryShare         = 0.1
	defaultCallTimeout        = 10 * time.Second
	defaultAnswerBytes        = 4 << 10
	defaultPieceTokens        = 2000
	defaultLinkBytesPerSecond = 10 << 30
)

func withDefaults(s tlwire.Service) tlwire.Service {
	t, w, b := valueOf(s.Targets), valueOf(s.Weights), valueOf(s.Bounds)
	setDefault(&t.FirstToken, defaultFirstToken)
	setDefault(&t.BetweenTokens, defaultBetweenTokens)
	if w.Goodput == 0 && w.WastedPrefill == 0 {
		w = tlwire.Weights{Goodput: 1, WastedPrefill: 1}
	}
	setDefault(&b.QueueWait, defaultQueueWait)
	setDefault(&b.QueueLength, defaultQueueLength)
	setDefault(&b.MaxTokens, defaultMaxTokens)
	setDefault(&b.PromptTokens, defaultPromptTokens)
	setDefault(&b.RetryShare, defaultRetryShare)
	setDefault(&b.CallTimeout, defaultCallTimeout)
	setDefault(&b.AnswerBytes, defaultAnswerBytes)
	s.Targets, s.Weights, s.Bounds = &t, &w, &b
	return s
}

func withPoolDefaults(p tlwire.Pool) tlwire.Pool {
	setDefault(&p.PieceTokens, defaultPieceTokens)
	setDefault(&p.LinkBytesPerSecond, defaultLinkBytesPerSecond)
	return p
}

func valueOf[T any](p *T) T {
	if p == nil {
		var t T
		return t
	}
	return *p
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
