package tlpeer

import (
	"fmt"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// Failure says why a message did not reach a peer, or why no valid answer came back.
type Failure string

// The failures of a call or message.
const (
	// UnknownPeer means that no instance of that name is known.
	UnknownPeer Failure = "NoPeer"
	// Unreachable means that no connection could be made.
	Unreachable Failure = "Unreachable"
	// QueueFull means that the queue of messages to the peer is full.
	QueueFull Failure = "QueueFull"
	// Lost means that the connection or the call's context ended before the answer came.
	Lost Failure = "Lost"
	// Refused means that the peer answered with an error.
	Refused Failure = "Refused"
	// Busy means that the peer did not handle the call because it is at its limit
	// of concurrent calls.
	Busy Failure = "Busy"
	// BadMessage means that a message could not be encoded or decoded.
	BadMessage Failure = "BadMessage"
)

// Error describes a failed call or message to a peer.
type Error struct {
	Peer    string
	Kind    string
	Failure Failure
	Message string
}

// Error returns the failure, the kind of message, the peer and the error text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s to %s: %s", e.Failure, e.Kind, e.Peer, e.Message)
}

// MayHaveArrived reports whether the peer may have handled the message.
func (e *Error) MayHaveArrived() bool {
	return e.Failure == Lost || e.Failure == Refused || e.Failure == BadMessage
}

// busyText is the error text of an answer to a call that was not handled.
const busyText = "Busy"

// answerError converts an error answer to the *Error, or *tlverdict.Error, that the
// caller gets.
func answerError(peer string, e tlwire.Envelope) error {
	if e.Reason != "" {
		v := tlverdict.New(tlverdict.Reason(e.Reason), "%s", e.Error)
		return v.WithRetryAfter(e.RetryAfter)
	}
	f := Refused
	if e.Error == busyText {
		f = Busy
	}
	return &Error{Peer: peer, Kind: e.Kind, Failure: f, Message: e.Error}
}
