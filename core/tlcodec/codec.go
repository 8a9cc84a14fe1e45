package tlcodec

import (
	"github.com/fxamacker/cbor/v2"
)

// The limits on messages that the decoder accepts.
const (
	maxNesting  = 16
	maxElements = 1 << 20
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// Encode returns v in CBOR.
func Encode[T any](v T) ([]byte, error) {
	return encoder.Marshal(v)
}

// Decode decodes a T from CBOR; trailing data is an error.
func Decode[T any](data []byte) (T, error) {
	var v T
	err := decoder.Unmarshal(data, &v)
	return v, err
}

func mustEncoder() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339NanoUTC
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
