package tlhealth

// Outcome is the result of sending a request to an endpoint.
type Outcome int

// The outcomes of a send.
const (
	// Answered is a complete answer that does not report a failure of the endpoint.
	Answered Outcome = iota
	// ServerError is a complete answer that reports a failure of the endpoint.
	ServerError
	// Refused is an answer that the request was not run because the endpoint had no capacity.
	Refused
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// Broken means that the connection broke before the answer was complete, or that the answer was invalid.
	Broken
	// TimedOut means that no answer arrived before the timeout.
	TimedOut
	// CallerGone means that the caller disconnected before an answer arrived.
	CallerGone
)

var outcomeNames = []string{"Answered", "Erred", "Refused", "Unreached", "Broken", "Silent", "Left"}

// String returns the name of the outcome as it is logged.
func (o Outcome) String() string {
	return outcomeNames[o]
}
