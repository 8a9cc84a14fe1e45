package tlsched

// EngineState says whether an engine may be given new work.
type EngineState int

// The states of an engine.
const (
	EngineLive EngineState = iota
	EngineLeaving
	EngineGone
)

// String returns the state's name.
func (s EngineState) String() string {
	switch s {
	case EngineLive:
		return "Live"
	case EngineLeaving:
		return "Leaving"
	default:
		return "Gone"
	}
}
