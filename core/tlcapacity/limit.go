package tlcapacity

// Limit is a resource of a node, or of the log, whose use the target bounds.
type Limit int

// The limits of the target.
const (
	Bytes Limit = iota
	Processor
	Memory
	Appends // by all nodes together
)

var limits = [...]struct {
	name    string
	unit    string
	allowed float64
}{
	Bytes:     {"bytes", "B/s", 3_000},
	Processor: {"processor time", "ms/s", 22},
	Memory:    {"memory", "MB", 256},
	Appends:   {"appends of all", "/s", 400},
}

// String returns the limit's name as the tables show it.
func (l Limit) String() string {
	return limits[l].name
}

// Unit returns the unit in which the limit and the costs against it are given.
func (l Limit) Unit() string {
	return limits[l].unit
}

// Allowed returns the most that the target allows for work other than requests, in l.Unit().
func (l Limit) Allowed() float64 {
	return limits[l].allowed
}
