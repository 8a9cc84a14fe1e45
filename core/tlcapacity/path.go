package tlcapacity

// Path says what a cost goes with.
type Path int

// The paths of a row.
const (
	// Control is spent whether or not there are requests, by every node.
	Control Path = iota
	// FewNodes is control that only a few nodes spend.
	FewNodes
	// Request is spent on each request.
	Request
	// Platform is spent at the platform by all nodes together.
	Platform
)

var paths = [...]string{Control: "control", FewNodes: "control, few nodes", Request: "requests", Platform: "platform"}

// String returns the path's name.
func (p Path) String() string {
	return paths[p]
}
