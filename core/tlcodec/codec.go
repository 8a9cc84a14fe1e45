package tlcodec

import (
	"github.com/fxamacker/cbor/v2"
)

// The bounds on what a decoder accepts.
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

// Decode reads a T from CBOR; data after it is an error.
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
