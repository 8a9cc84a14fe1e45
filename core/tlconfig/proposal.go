package tlconfig

import (
	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// Proposal returns the record that proposes a change to generation base.
// Appending the same record again is harmless, since a generation is in force
// only once.
func Proposal(base uint64, c tlwire.ConfigChange, author, nonce string) ([]byte, error) {
	content, err := tlcodec.Encode(c)
	if err != nil {
		return nil, err
	}
	return tlrecord.Encode(tlwire.ConfigProposal{
		Base:    base,
		Content: content,
		Author:  author,
		Nonce:   nonce,
	})
}

// Snapshot returns the record that holds a whole state.
func Snapshot(s State) ([]byte, error) {
	content, err := tlcodec.Encode(s.Export())
	if err != nil {
		return nil, err
	}
	return tlrecord.Encode(tlwire.ConfigSnapshot{
		Generation: s.Generation,
		Content:    content,
	})
}

// NonceOf returns the nonce of a record, or false if it is not a proposal.
func NonceOf(data []byte) (string, bool) {
	e, err := tlrecord.Open(data)
	if err != nil {
		return "", false
	}
	p, err := tlrecord.Decode[tlwire.ConfigProposal](e)
	return p.Nonce, err == nil
}
