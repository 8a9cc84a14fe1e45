// Package tlcodec encodes and decodes messages in CBOR: the same value always
// gives the same bytes, and fields that a later version added are ignored.
package tlcodec
