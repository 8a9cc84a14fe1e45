package tlaccess

// Organisation is a customer whose callers are known by keys.
type Organisation struct {
	// Name is unique within a configuration.
	Name string
	// Rank is the priority of the organisation's requests; 0 is the most urgent.
	Rank int
	// Quota bounds what the organisation may send.
	Quota Quota
}

// Quota bounds what an organisation may send to all instances together.
type Quota struct {
	// Rate is the allowance a second, in requests or tokens; 0 means no limit.
	Rate float64
	// Burst is what may be sent at once beyond Rate.
	Burst float64
	// CountsTokens says that Rate and Burst are in tokens.
	CountsTokens bool
	// DefaultTokens is the cost of a request that does not name its tokens.
	DefaultTokens int
}
