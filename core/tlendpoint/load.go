package tlendpoint

// Load is what an engine says of itself, some hundred milliseconds late.
type Load struct {
	// AcceptedOrders counts the orders that it accepted since its start.
	AcceptedOrders int64
	// HeldTokens is the memory that can't yield, in tokens.
	HeldTokens int
}
