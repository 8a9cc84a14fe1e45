package tlrecord

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"trefoillanding/core/tlwire"
)

// ErrLaterVersion says that a record was written by a later program.
var ErrLaterVersion = errors.New("the record has a later version")

// Encode returns the log record that holds a message.
func Encode[T Body](b T) ([]byte, error) {
	body, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(tlwire.Record{Kind: KindOf[T](), Version: currentVersion, Body: body})
}

// Open returns the envelope of a log record, or an error when the data is no
// record or has a later version; a reader counts and skips such a record.
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

// Decode returns the message inside an envelope of its kind.
func Decode[T Body](r tlwire.Record) (T, error) {
	var b T
	if k := KindOf[T](); r.Kind != k {
		return b, fmt.Errorf("the record holds %s, not %s", r.Kind, k)
	}
	err := cbor.Unmarshal(r.Body, &b)
	return b, err
}
