package tlcapacity

// Limit is what a node, or the log, may be asked for.
type Limit int

// The limits of the target.
const (
	Bytes Limit = iota
	Processor
	Memory
	Appends
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

// String returns the limit's name.
func (l Limit) String() string {
	return limits[l].name
}

// Unit returns the unit of the limit's figures.
func (l Limit) Unit() string {
	return limits[l].unit
}

// Allowed returns the most that the target allows for control.
func (l Limit) Allowed() float64 {
	return limits[l].allowed
}
