package tlendpoint

// Load is the load that an engine reports; it is some hundred milliseconds old.
type Load struct {
	// Incarnation is that of the engine that reports; 0 if it is not given.
	Incarnation int64
	// AcceptedOrders is the number of orders that the engine has accepted since its start.
	AcceptedOrders int64
	// IsCarryingOut says that the engine is carrying out an order.
	IsCarryingOut bool
	// HeldTokens is the KV memory that can't be evicted, in tokens.
	HeldTokens int
}
