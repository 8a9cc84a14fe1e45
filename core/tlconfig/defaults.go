package tlconfig

import (
	"time"

	"trefoillanding/core/tlwire"
)

// The defaults of what a service or pool leaves out.
const (
	defaultFirstToken    = 330 * time.Millisecond
	defaultBetweenTokens = 30 * time.Millisecond
	defaultQueueWait     = 10 * time.Second
	defaultQueueLength   = 1000
	defaultMaxTokens     = 4096
	defaultPromptTokens  = 100_000
	defaultRetryShare    = 0.1
	defaultCallTimeout   = 10 * time.Second
	defaultAnswerBytes   = 4 << 10
	defaultPieceTokens   = 2000
	defaultLinkRate      = 10 << 30
)

func withDefaults(s tlwire.Service) tlwire.Service {
	t, w, b := valueOf(s.Targets), valueOf(s.Weights), valueOf(s.Bounds)
	orElse(&t.FirstToken, defaultFirstToken)
	orElse(&t.BetweenTokens, defaultBetweenTokens)
	if w.Goodput == 0 && w.WastedPrefill == 0 {
		w = tlwire.Weights{Goodput: 1, WastedPrefill: 1}
	}
	orElse(&b.QueueWait, defaultQueueWait)
	orElse(&b.QueueLength, defaultQueueLength)
	orElse(&b.MaxTokens, defaultMaxTokens)
	orElse(&b.PromptTokens, defaultPromptTokens)
	orElse(&b.RetryShare, defaultRetryShare)
	orElse(&b.CallTimeout, defaultCallTimeout)
	orElse(&b.AnswerBytes, defaultAnswerBytes)
	s.Targets, s.Weights, s.Bounds = &t, &w, &b
	return s
}

func withPoolDefaults(p tlwire.Pool) tlwire.Pool {
	orElse(&p.PieceTokens, defaultPieceTokens)
	orElse(&p.LinkBytesPerSecond, defaultLinkRate)
	return p
}

func valueOf[T any](p *T) T {
	if p == nil {
		var t T
		return t
	}
	return *p
}

func orElse[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
