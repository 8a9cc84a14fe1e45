package tlrecord

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"trefoillanding/core/tlwire"
)

// ErrLaterVersion means that a later version of the program wrote the record.
var ErrLaterVersion = errors.New("record version is later than this program supports")

// Encode returns the encoded log record of a message.
func Encode[T Body](b T) ([]byte, error) {
	body, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(tlwire.Record{Kind: KindOf[T](), Version: currentVersion, Body: body})
}

// Open decodes the envelope of a log record; it fails if the data is malformed or
// has a later version (ErrLaterVersion). Readers count and skip such records.
func Open(data []byte) (tlwire.Record, error) {
	var r tlwire.Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return tlwire.Record{}, err
	}
	if r.Version > currentVersion {
		return r, ErrLaterVersion
	}
	return r, nil
}

// Decode returns the message in an envelope; it fails if the record is of another kind.
func Decode[T Body](r tlwire.Record) (T, error) {
	var b T
	if k := KindOf[T](); r.Kind != k {
		return b, fmt.Errorf("record is of kind %s, not %s", r.Kind, k)
	}
	err := cbor.Unmarshal(r.Body, &b)
	return b, err
}
