package tlkeyed

import "cmp"

// Position is a place in a log that may go back: after it was restored from a copy,
// its era is higher, and its offsets are given out again.
type Position struct {
	Era    uint64
	Offset uint64
}

// Compare orders positions by era, then by offset.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// eraBits is the number of bits that Number shifts an era by: offsets stay below 2^32,
// and a number stays exact in JSON for two million eras.
const eraBits = 32

// Number returns a positive number that rises with the position.
func (p Position) Number() uint64 {
	return p.Era<<eraBits + p.Offset + 1
}
