package tlcapacity

// Path says which kind of work causes a cost, and which nodes bear it.
type Path int

// The paths of a row.
const (
	// Control is the cost that every node bears whether or not there are requests.
	Control Path = iota
	// FewNodes is a control cost that only a few nodes bear.
	FewNodes
	// Request is the cost of handling requests.
	Request
	// Platform is the cost at the platform, caused by all nodes together.
	Platform
)

var paths = [...]string{Control: "control", FewNodes: "control, few nodes", Request: "requests", Platform: "platform"}

// String returns the path's name as the tables show it.
func (p Path) String() string {
	return paths[p]
}
