package tlconfigure

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

func hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// follow asks a peer for the next records, or for its whole state, and folds
// what comes; it says whether the peer answered.
func (c *Configurer) follow(ctx context.Context, peer string, wait time.Duration) bool {
	at := uint64(0)
	if s, known := c.state(); known {
		at = s.Offset + 1
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.o.Timing.Timeout)
	defer cancel()
	q := tlwire.FollowCall{Next: at, Wait: wait}
	a, err := tlpeer.Call[tlwire.FollowCall, tlwire.FollowAnswer](ctx, c.o.Mesh, peer, kindFollow, q)
	if err != nil {
		c.o.Add(countFollowFailed, 1)
		return false
	}
	c.o.Add(countFollowed, 1)
	if len(a.State) > 0 {
		c.adoptEncoded(a.State)
	}
	if len(a.Records) > 0 {
		c.take(received(a.Records))
	}
	c.markCurrent(a.Age)
	return true
}

func (c *Configurer) adoptEncoded(data []byte) {
	e, err := tlcodec.Decode[tlwire.ConfigState](data)
	if err != nil {
		c.o.Add(countRefusedState, 1)
		return
	}
	s, err := tlconfig.Import(e)
	if err != nil {
		c.o.Add(countRefusedState, 1)
		return
	}
	c.adopt(s)
}

func received(records []tlwire.PassedRecord) []tlwire.LogRecord {
	var out []tlwire.LogRecord
	for _, r := range records {
		out = append(out, tlwire.LogRecord(r))
	}
	return out
}

// answerFollow passes records on to a peer, waiting for the next where there is none.
func (c *Configurer) answerFollow(ctx context.Context, _ tlpeer.Peer, q tlwire.FollowCall) (tlwire.FollowAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, min(q.Wait, c.o.Timing.Wait))
	defer cancel()
	for {
		a, moved, err := c.toPass(q.Next)
		a.Age = c.Age()
		if err != nil || len(a.Records) > 0 || len(a.State) > 0 {
			return a, err
		}
		select {
		case <-moved:
		case <-ctx.Done():
			a.Age = c.Age()
			return a, nil
		case <-c.ctx.Done():
			return a, nil
		}
	}
}

// toPass returns what a peer that reads on at an offset lacks.
func (c *Configurer) toPass(at uint64) (tlwire.FollowAnswer, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fold.IsKnown() || at > c.fold.State().Offset {
		return tlwire.FollowAnswer{}, c.moved, nil
	}
	if records, ok := c.recent.from(at); ok && at > 0 {
		records = records[:min(len(records), readLimit)]
		c.o.Add(countPassed, int64(len(records)))
		return tlwire.FollowAnswer{Records: passed(records)}, c.moved, nil
	}
	data, err := tlcodec.Encode(c.fold.State().Export())
	c.o.Add(countStatePassed, 1)
	return tlwire.FollowAnswer{State: data}, c.moved, err
}
