package tlrelay

import (
	"context"
	"errors"
	"net/netip"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// progressTokens is how many tokens pass between two reports of progress.
const progressTokens = 256

// reconnects is how often a broken connection to a stream is made anew.
const reconnects = 3

// takenError is the engine's word for a stream that another reader resumed.
const takenError = "Taken"

var (
	errTaken  = errors.New("another reader took the stream")
	errCaller = errors.New("the caller is gone")
	errEngine = errors.New("the engine gave up the stream")
)

func (r *run) decode(ctx, stage context.Context, s tlwire.Step, engine netip.AddrPort) (bool, error) {
	in, err := r.relay.deps.Engines.Decode(stage, engine, tlwire.DecodeRequest{
		Attempt:     s.Attempt,
		Stream:      s.Attempt,
		Request:     r.request.ID,
		Owner:       r.relay.deps.Name,
		Incarnation: r.relay.deps.Incarnation,
		Model:       r.request.Model,
		FirstIndex:  r.delivered,
		MaxTokens:   r.request.MaxTokens,
		Priority:    s.Priority,
	})
	if err == nil {
		r.unused, r.first = 0, r.delivered
		r.prefix = r.relay.deps.Signer.Prefix(r.position(engine))
		err = r.pump(in)
		in.Close()
	}
	return r.decodeEnded(ctx, stage, r.reconnect(stage, err))
}

// reconnect reads the stream on at the same engine when only the connection broke.
func (r *run) reconnect(stage context.Context, err error) error {
	for range reconnects {
		if err == nil || stage.Err() != nil || errors.Is(err, errTaken) || errors.Is(err, errEngine) || errors.Is(err, errCaller) {
			return err
		}
		in, failed := r.relay.deps.Engines.Resume(stage, r.decoding, tlwire.ResumeRequest{
			Stream:      r.attempt,
			Owner:       r.relay.deps.Name,
			Incarnation: r.relay.deps.Incarnation,
			FirstIndex:  r.delivered,
		})
		if failed != nil {
			return errors.Join(err, failed)
		}
		r.relay.counters.Count(reconnected)
		err = r.pump(in)
		in.Close()
	}
	return err
}

func (r *run) decodeEnded(ctx, stage context.Context, err error) (bool, error) {
	if err == nil {
		r.finish()
		return true, nil
	}
	if r.wasTaken() || errors.Is(err, errTaken) {
		return false, r.takenOver()
	}
	if errors.Is(err, errCaller) || ctx.Err() != nil {
		r.relay.counters.Count(callerGone)
		return false, tlverdict.New(tlverdict.EndpointTimeout, "the caller left: %v", err)
	}
	if !r.hasText {
		return false, tlverdict.New(tlverdict.StreamGone, "the stream is lost: %v", err)
	}
	return false, r.stageFailed(ctx, stage, decodeFailed, tlwire.Report{
		Kind:   tlwire.ReportKindDecodeFailed,
		Tokens: r.delivered,
		Reason: err.Error(),
	})
}

// finish tells home and engine that the caller has everything.
func (r *run) finish() {
	r.send(tlwire.Report{Kind: tlwire.ReportKindFinished, Tokens: r.delivered})
	r.relay.deps.Engines.Cancel(r.decoding, r.attempt)
}

// pump hands tokens on until the last one.
func (r *run) pump(in Stream) error {
	first := r.delivered
	defer func() { r.relay.counters.Add(tokens, int64(r.delivered-first)) }()
	for {
		e, err := in.Next()
		if err != nil {
			return errors.Join(err, r.out.Flush())
		}
		if e.Error == takenError {
			return errTaken
		}
		if e.Error != "" {
			return errors.Join(errEngine, errors.New(e.Error))
		}
		if err := r.emit(e); err != nil {
			return errors.Join(errCaller, err)
		}
		if e.Finish != "" || !in.Buffered() {
			if err := r.out.Flush(); err != nil {
				return errors.Join(errCaller, err)
			}
		}
		if e.Finish != "" {
			return nil
		}
	}
}

func (r *run) emit(e tlwire.TokenEvent) error {
	r.text.WriteString(e.Text)
	r.delivered++
	if r.delivered%progressTokens == 0 {
		r.send(tlwire.Report{Kind: tlwire.ReportKindProgress, Tokens: r.delivered})
	}
	return r.out.Emit(Event{
		Prefix: r.prefix,
		Index:  e.Index,
		Text:   e.Text,
		Finish: e.Finish,
	})
}

func (r *run) wasTaken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isTaken
}

// resume reads a stream on whose owner may be another instance, or none.
func (r *run) resume(ctx context.Context, p tleventid.Position) error {
	r.started, r.decoding = true, p.Engine
	r.attempt, r.tries = p.Attempt, attemptNumber(p.Attempt)
	r.pool = r.poolNamed(p.Pool)
	stage, stop := r.enter(ctx, p.Attempt)
	defer stop()
	r.first, r.delivered, r.hasText = p.FirstIndex, p.FirstIndex, p.FirstIndex == 0
	in, err := r.relay.deps.Engines.Resume(stage, p.Engine, tlwire.ResumeRequest{
		Stream:      p.Attempt,
		Owner:       r.relay.deps.Name,
		Incarnation: r.relay.deps.Incarnation,
		FirstIndex:  p.FirstIndex,
	})
	if err != nil {
		return tlverdict.New(tlverdict.StreamGone, "the stream can't be resumed: %v", err)
	}
	r.prefix = r.relay.deps.Signer.Prefix(r.position(p.Engine))
	r.report(tlwire.ReportKindProgress)
	err = r.catchUp(in, p.Index)
	if err == nil {
		err = r.pump(in)
	}
	in.Close()
	done, err := r.decodeEnded(ctx, stage, err)
	if done || err != nil {
		return err
	}
	return r.serve(ctx)
}

// catchUp reads what the caller has already, to be able to go on elsewhere should the engine die.
func (r *run) catchUp(in Stream, last int) error {
	for r.delivered <= last {
		e, err := in.Next()
		if err != nil {
			return err
		}
		if e.Error == takenError {
			return errTaken
		}
		if e.Error != "" {
			return errors.Join(errEngine, errors.New(e.Error))
		}
		r.text.WriteString(e.Text)
		r.delivered = e.Index + 1
	}
	return nil
}

func (r *run) poolNamed(name string) tlwire.Pool {
	for _, p := range r.relay.deps.Pools(r.request) {
		if p.Name == name {
			return p
		}
	}
	return tlwire.Pool{Name: name}
}
