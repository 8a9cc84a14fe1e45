package tlconfig

import (
	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
)

// Proposal returns the record that proposes a change of a generation; appending
// the same record again is harmless, since its base is in force only once.
func Proposal(base uint64, c tlwire.ConfigChange, author, nonce string) ([]byte, error) {
	content, err := tlcodec.Encode(c)
	if err != nil {
		return nil, err
	}
	return record(tlwire.RecordKindConfigProposal, tlwire.ConfigProposal{
		Base:    base,
		Content: content,
		Author:  author,
		Nonce:   nonce,
	})
}

// Snapshot returns the record that repeats a state.
func Snapshot(s State) ([]byte, error) {
	content, err := tlcodec.Encode(s.Export())
	if err != nil {
		return nil, err
	}
	return record(tlwire.RecordKindConfigSnapshot, tlwire.ConfigSnapshot{
		Generation: s.Generation,
		Content:    content,
	})
}

func record[T any](k tlwire.RecordKind, v T) ([]byte, error) {
	body, err := tlcodec.Encode(v)
	if err != nil {
		return nil, err
	}
	return tlcodec.Encode(tlwire.Record{Kind: k, Version: recordVersion, Body: body})
}

// NonceOf returns the nonce of a record that is a proposal.
func NonceOf(data []byte) (string, bool) {
	e, err := tlcodec.Decode[tlwire.Record](data)
	if err != nil || e.Kind != tlwire.RecordKindConfigProposal {
		return "", false
	}
	p, err := tlcodec.Decode[tlwire.ConfigProposal](e.Body)
	return p.Nonce, err == nil
}
