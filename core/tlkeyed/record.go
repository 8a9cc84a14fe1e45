package tlkeyed

// Record is one record of a compacted log.
type Record struct {
	Key string
	// Value is the content; nil deletes the key.
	Value []byte
	// Offset is the position of the record in the log.
	Offset uint64
	// Era is the era of the log in which it was read.
	Era uint64
}

// IsTombstone reports whether the record deletes its key.
func (r Record) IsTombstone() bool {
	return r.Value == nil
}

// Batch is a sequence of records that were read from the log.
type Batch struct {
	Records []Record
	// Next is the offset from which to read next.
	Next uint64
	// End is the offset of the next append.
	End uint64
	// Era is the era of the log in which they were read.
	Era uint64
	// Skipped holds the offsets of records that can't be read as such.
	Skipped []uint64
}

// Position returns the position from which to read next.
func (b Batch) Position() Position {
	return Position{Era: b.Era, Offset: b.Next}
}
