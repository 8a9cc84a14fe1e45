package tlrelay

import (
	"context"
	"errors"
	"net/netip"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// progressTokens is the number of tokens between two progress reports.
const progressTokens = 256

// maxReconnects is how many times a broken connection to a stream is reopened.
const maxReconnects = 3

// takenError is the error that an engine sends on a stream that another reader resumed.
const takenError = "Taken"

var (
	errTaken        = errors.New("another reader resumed the stream")
	errCallerGone   = errors.New("the caller disconnected")
	errEngineFailed = errors.New("the engine ended the stream with an error")
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
		r.unusedTokens, r.firstIndex = 0, r.delivered
		r.prefix = r.relay.deps.Signer.Prefix(r.position(engine))
		err = r.forward(in)
		in.Close()
	}
	return r.decodeEnded(ctx, stage, r.reconnect(stage, err))
}

// reconnect resumes the stream at the same engine when only the connection broke.
func (r *run) reconnect(stage context.Context, err error) error {
	for range maxReconnects {
		if err == nil || stage.Err() != nil || errors.Is(err, errTaken) || errors.Is(err, errEngineFailed) || errors.Is(err, errCallerGone) {
			return err
		}
		in, failed := r.relay.deps.Engines.Resume(stage, r.decodeEngine, tlwire.ResumeRequest{
			Stream:      r.attempt,
			Owner:       r.relay.deps.Name,
			Incarnation: r.relay.deps.Incarnation,
			FirstIndex:  r.delivered,
		})
		if failed != nil {
			return errors.Join(err, failed)
		}
		r.relay.counters.Count(reconnected)
		err = r.forward(in)
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
		return false, r.takenOverError()
	}
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		r.relay.counters.Count(callerGone)
		return false, tlverdict.New(tlverdict.EndpointTimeout, "the caller left: %v", err)
	}
	if !r.hasFullText {
		return false, tlverdict.New(tlverdict.StreamGone, "the stream broke and can't be continued: %v", err)
	}
	return false, r.stageFailed(ctx, stage, decodeFailed, tlwire.Report{
		Kind:   tlwire.ReportKindDecodeFailed,
		Tokens: r.delivered,
		Reason: err.Error(),
	})
}

// finish tells the home and the engine that the answer has been delivered in full.
func (r *run) finish() {
	r.sendReport(tlwire.Report{Kind: tlwire.ReportKindFinished, Tokens: r.delivered})
	r.relay.deps.Engines.Cancel(r.decodeEngine, r.attempt)
}

// forward copies tokens from the engine to the caller up to the last one.
func (r *run) forward(in Stream) error {
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
			return errors.Join(errEngineFailed, errors.New(e.Error))
		}
		if err := r.emit(e); err != nil {
			return errors.Join(errCallerGone, err)
		}
		if e.Finish != "" || !in.Buffered() {
			if err := r.out.Flush(); err != nil {
				return errors.Join(errCallerGone, err)
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
		r.sendReport(tlwire.Report{Kind: tlwire.ReportKindProgress, Tokens: r.delivered})
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

// resume continues a stream that another instance, or none, may own at present.
func (r *run) resume(ctx context.Context, p tleventid.Position) error {
	r.started, r.decodeEngine = true, p.Engine
	r.attempt, r.tries = p.Attempt, attemptNumber(p.Attempt)
	r.pool = r.poolNamed(p.Pool)
	stage, stop := r.enterStage(ctx, p.Attempt)
	defer stop()
	r.firstIndex, r.delivered, r.hasFullText = p.FirstIndex, p.FirstIndex, p.FirstIndex == 0
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
	err = r.rereadDelivered(in, p.Index)
	if err == nil {
		err = r.forward(in)
	}
	in.Close()
	done, err := r.decodeEnded(ctx, stage, err)
	if done || err != nil {
		return err
	}
	return r.serve(ctx)
}

// rereadDelivered reads the tokens that the caller already has: their text is
// needed to continue on another engine if this one fails.
func (r *run) rereadDelivered(in Stream, last int) error {
	for r.delivered <= last {
		e, err := in.Next()
		if err != nil {
			return err
		}
		if e.Error == takenError {
			return errTaken
		}
		if e.Error != "" {
			return errors.Join(errEngineFailed, errors.New(e.Error))
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
