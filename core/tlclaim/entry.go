package tlclaim

// Entry is the table's state of one key.
type Entry struct {
	State State
	// IsUntimed means that the key carries no timestamp.
	IsUntimed bool
	// Nonce is the nonce of the claim that holds the key or was released last.
	Nonce uint64
	// Digest is the digest of the request that holds the key.
	Digest Digest
	// Offset is the log offset of the claim, of the release that made the key
	// Released, or of the latest key snapshot that lists the key.
	Offset uint64
	// Outcome is the log offset of the outcome.
	Outcome uint64
}
