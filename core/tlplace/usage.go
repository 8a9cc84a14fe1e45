package tlplace

import "trefoillanding/core/tlendpoint"

// usage is what is in use and what is free at the decode engines.
type usage struct {
	held, running         int
	freeTokens, freeSlots int
}

// usage returns what is in use at the decode engines of a version now. Free memory counts
// in whole pieces of the given size, in tokens: less at one engine is no room for a request.
func (b *Book) usage(piece int, version string) usage {
	var u usage
	for _, e := range b.order {
		if version != anyVersion && version != e.Version {
			continue
		}
		u.held += e.heldTokens()
		u.running += e.running
		if e.Role == tlendpoint.Decode && !e.IsDraining {
			u.freeTokens += max(e.freeTokens(b.o), 0) / max(piece, 1) * max(piece, 1)
			u.freeSlots += max(b.o.Slots-e.running, 0)
		}
	}
	return u
}

// take takes the room of a request; what is free may become negative.
func (u *usage) take(tokens int) {
	u.freeTokens -= tokens
	u.freeSlots--
}

// giveBack gives back the room of a request.
func (u *usage) giveBack(tokens int) {
	u.freeTokens += tokens
	u.freeSlots++
}

// missingShare returns the share of what is in use that has to end before the room
// that was taken is free; 0 where nothing has to, or nothing is in use.
func (u *usage) missingShare() float64 {
	return max(shareOf(-u.freeTokens, u.held), shareOf(-u.freeSlots, u.running))
}

// shareOf returns the share of what is in use that has to end before so much is free;
// 0 where nothing has to, or nothing is in use.
func shareOf(missing, used int) float64 {
	if missing <= 0 || used <= 0 {
		return 0
	}
	return float64(missing) / float64(used)
}
