package tlclaim

import (
	"time"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// parser decodes the event of a record; false means that the record is ignored.
type parser func(r tlwire.Record, at time.Time) (ID, event, bool)

var parsers = map[tlwire.RecordKind]parser{
	tlwire.RecordKindClaim:   parseClaim,
	tlwire.RecordKindOutcome: parseOutcome,
	tlwire.RecordKindRelease: parseRelease,
}

func parseClaim(r tlwire.Record, at time.Time) (ID, event, bool) {
	c, err := tlrecord.Decode[tlwire.Claim](r)
	if err != nil || IsAhead(c.Key, at) || len(c.Digest) != len(Digest{}) {
		return ID{}, event{}, false
	}
	v := event{kind: r.Kind, nonce: c.Nonce, digest: Digest(c.Digest), isUntimed: isUntimed(c.Key)}
	return NewID(c.Service, c.Key), v, true
}

func parseOutcome(r tlwire.Record, _ time.Time) (ID, event, bool) {
	o, err := tlrecord.Decode[tlwire.Outcome](r)
	if err != nil {
		return ID{}, event{}, false
	}
	v := event{kind: r.Kind, nonce: o.Nonce, lacksAnswer: o.IsUnknown || o.Answer == nil}
	return NewID(o.Service, o.Key), v, true
}

func parseRelease(r tlwire.Record, _ time.Time) (ID, event, bool) {
	l, err := tlrecord.Decode[tlwire.Release](r)
	if err != nil {
		return ID{}, event{}, false
	}
	return NewID(l.Service, l.Key), event{kind: r.Kind, nonce: l.Nonce, isUntimed: isUntimed(l.Key)}, true
}
