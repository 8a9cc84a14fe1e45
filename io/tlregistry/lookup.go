package tlregistry

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlorigin"
	"trefoillanding/core/tlwire"
)

// Find returns the origin of the stream that an attempt began; service is where it is
// likely to have begun. The error is ErrNotKnown, or ErrUnread if it may be known later.
func (r *Registry) Find(ctx context.Context, service, attempt string) (tlorigin.Origin, error) {
	if attempt == "" {
		r.o.Count(NotKnown)
		return tlorigin.Origin{}, ErrNotKnown
	}
	asked := r.o.Now()
	if o, ok := r.find(attempt); ok {
		return r.found(o, FoundHere)
	}
	where, isSilent := r.askOthers(ctx, service, attempt)
	if o, ok := r.find(attempt); ok {
		// It may also have come by itself meanwhile.
		return r.found(o, cmp.Or(where, FoundHere))
	}
	err := r.catchUp(ctx, asked)
	if o, ok := r.find(attempt); ok {
		return r.found(o, FoundInLog)
	}
	if err != nil || isSilent {
		r.o.Count(Unread)
		r.o.Log.WithFields(logrus.Fields{"Cause": err, "IsSilent": isSilent}).Debug("origin not found yet")
		return tlorigin.Origin{}, ErrUnread
	}
	r.o.Count(NotKnown)
	return tlorigin.Origin{}, ErrNotKnown
}

func (r *Registry) found(o tlorigin.Origin, where string) (tlorigin.Origin, error) {
	if !o.IsCertain() {
		r.o.Count(NotKnown)
		return o, ErrNotKnown
	}
	r.o.Count(where)
	return o, nil
}

// catchUp reads the log to its end, unless that was done since a time. Many that ask at
// once, after all instances lost power, read it once.
func (r *Registry) catchUp(ctx context.Context, since time.Time) error {
	select {
	case r.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.reading }()
	if r.readBegan.After(since) {
		return nil
	}
	sleep(ctx, r.nextRead.Sub(r.o.Now()))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	began := r.o.Now()
	r.nextRead = began.Add(r.o.CallInterval())
	for {
		b, first, isCompacted, err := r.o.Read(ctx, r.position.Offset)
		switch {
		case err != nil:
			return err
		case isCompacted:
			r.position = tlkeyed.Position{Era: b.Era, Offset: first}
			continue
		case b.Era > r.position.Era && r.position.Era > 0 && r.position.Offset > 0:
			// The log went back; offsets that were read before are given out again.
			r.position = tlkeyed.Position{Era: b.Era}
			continue
		}
		r.apply(b)
		r.position = b.Position()
		if b.Next >= b.End {
			r.readBegan = began
			return nil
		}
	}
}

// apply takes in records of the log.
func (r *Registry) apply(b tlkeyed.Batch) {
	for _, k := range b.Records {
		m, err := tlcodec.Decode[tlwire.StreamOrigins](k.Value)
		if err != nil {
			r.o.Count(BadRecord)
			r.o.Log.WithField("Offset", k.Offset).Warn("record of origins ignored: cannot be decoded")
			continue
		}
		r.learn(m)
	}
}
