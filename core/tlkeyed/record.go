package tlkeyed

// Record is one record of a keyed log.
type Record struct {
	Key string
	// Value is its content; nil where the key is dropped.
	Value []byte
	// Offset is its place in the log.
	Offset uint64
}

// IsTombstone says whether the record drops its key.
func (r Record) IsTombstone() bool {
	return r.Value == nil
}

// Batch is a run of records.
type Batch struct {
	Records []Record
	// Next is the offset to go on from.
	Next uint64
	// End is the offset that the next append gets.
	End uint64
}
