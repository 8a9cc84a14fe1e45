package tlclaim

// Entry is what the table keeps of one key.
type Entry struct {
	State State
	// IsUntimed says that the key carries no time.
	IsUntimed bool
	// Nonce is the nonce of the claim that holds the key or was released last.
	Nonce uint64
	// Digest is the digest of the request that holds the key.
	Digest Digest
	// Offset is the place of the claim, or of the release without one.
	Offset uint64
	// Outcome is the place of the outcome.
	Outcome uint64
}
