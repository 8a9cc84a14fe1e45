// Package tlcodec encodes and decodes messages in CBOR. The encoding is
// deterministic; unknown fields are ignored, since later versions may add some.
package tlcodec
