package tlpeer

import (
	"fmt"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// Failure says why a message did not reach a peer, or its answer did not come.
type Failure string

// The failures of a message.
const (
	// NoPeer means that nobody of that name is known.
	NoPeer Failure = "NoPeer"
	// Unreachable means that no connection could be made.
	Unreachable Failure = "Unreachable"
	// QueueFull means that too many messages wait for the peer already.
	QueueFull Failure = "QueueFull"
	// Lost means that the connection or the patience ended before the answer came.
	Lost Failure = "Lost"
	// Refused means that the peer answered with an error.
	Refused Failure = "Refused"
	// Busy means that the peer handles as many calls as it may, and not this one.
	Busy Failure = "Busy"
	// BadMessage means that a message could not be encoded or decoded.
	BadMessage Failure = "BadMessage"
)

// Error says how a call or message to a peer failed.
type Error struct {
	Peer    string
	Kind    string
	Failure Failure
	Message string
}

// Error returns the failure, the peer and the kind of message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s to %s: %s", e.Failure, e.Kind, e.Peer, e.Message)
}

// MayHaveArrived says that the peer may have handled the message.
func (e *Error) MayHaveArrived() bool {
	return e.Failure == Lost || e.Failure == Refused || e.Failure == BadMessage
}

// busy is the error text of an answer to a call that was not handled.
const busy = "Busy"

// answerError turns the answer of a call that failed into an error.
func answerError(peer string, e tlwire.Envelope) error {
	if e.Reason != "" {
		v := tlverdict.New(tlverdict.Reason(e.Reason), "%s", e.Error)
		return v.WithRetryAfter(e.RetryAfter)
	}
	f := Refused
	if e.Error == busy {
		f = Busy
	}
	return &Error{Peer: peer, Kind: e.Kind, Failure: f, Message: e.Error}
}
