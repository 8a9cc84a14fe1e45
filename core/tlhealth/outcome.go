package tlhealth

// Outcome is how a send ended.
type Outcome int

// The outcomes of sends.
const (
	// Answered is a complete answer that is no failure of the endpoint.
	Answered Outcome = iota
	// ServerError is a complete answer that tells of a failure of the endpoint.
	ServerError
	// Refused is an answer that the request was not run, for want of room.
	Refused
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// Broken means that the connection broke, or that what came was no answer.
	Broken
	// TimedOut means that nothing came in time.
	TimedOut
	// CallerGone means that the caller went before there was an answer.
	CallerGone
)

var outcomeNames = []string{"Answered", "Erred", "Refused", "Unreached", "Broken", "Silent", "Left"}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}
