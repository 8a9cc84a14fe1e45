package tlcodec

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

var errTooLarge = errors.New("the unpacked message is too large")

// Pack returns v in CBOR, compressed.
func Pack[T any](v T) ([]byte, error) {
	data, err := Encode(v)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unpack decodes what Pack returned, of up to limit bytes of CBOR.
func Unpack[T any](packed []byte, limit int64) (T, error) {
	var none T
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return none, fmt.Errorf("unpack: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return none, fmt.Errorf("unpack: %w", err)
	}
	if int64(len(data)) > limit {
		return none, errTooLarge
	}
	return Decode[T](data)
}
