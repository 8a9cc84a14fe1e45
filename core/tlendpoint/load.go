package tlendpoint

// Load is what an engine says of itself, some hundred milliseconds late.
type Load struct {
	// Orders counts the orders that it accepted since its start.
	Orders int64
	// Held is the memory that can't yield, in tokens.
	Held int
}
