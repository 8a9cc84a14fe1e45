package tlsched

// Stage says how far a request has come.
type Stage int

// The stages of a request.
const (
	StageWaiting Stage = iota
	StagePrefilling
	StageHeld
	StageTransferring
	StageDecoding
)

var stageNames = [...]string{"Waiting", "Prefilling", "Held", "Transferring", "Decoding"}

// String returns the stage's name.
func (s Stage) String() string {
	return stageNames[s]
}
