package tleventid

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/netip"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"trefoillanding/core/tlverdict"
)

const (
	macBytes       = 16
	maxIDBytes     = 1024
	maxIndexDigits = 10
)

// signedFields is the part of a position that is authenticated.
type signedFields struct {
	_          struct{} `cbor:",toarray"`
	Request    string
	Attempt    string
	Pool       string
	Engine     []byte
	FirstIndex int
	BodyDigest uint64
}

// Signer makes and verifies event ids; the first key signs, and all keys are accepted.
type Signer struct {
	keys [][]byte
}

// New returns a signer with the keys, of which there must be at least one.
func New(keys []string) *Signer {
	s := &Signer{}
	for _, k := range keys {
		s.keys = append(s.keys, []byte(k))
	}
	return s
}

// Prefix returns the part of an event id that all events of a stream share.
//
// Only the prefix is authenticated: a caller who changes the index only reads
// its own stream from another position.
func (s *Signer) Prefix(p Position) string {
	engine, _ := p.Engine.MarshalBinary()
	body, err := cbor.Marshal(signedFields{
		Request:    p.Request,
		Attempt:    p.Attempt,
		Pool:       p.Pool,
		Engine:     engine,
		FirstIndex: p.FirstIndex,
		BodyDigest: p.BodyDigest,
	})
	if err != nil {
		return ""
	}
	body = append(body, mac(s.keys[0], body)...)
	return base64.RawURLEncoding.EncodeToString(body)
}

// Append appends the id of one event to b; finish is empty for all but the last.
func Append(b []byte, prefix string, index int, finish string) []byte {
	b = append(b, prefix...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(index), 10)
	if finish == "" {
		return b
	}
	b = append(b, '.')
	return append(b, finish...)
}

// Parse returns the position of an event id; an error has the reason BadEventID.
func (s *Signer) Parse(id string) (Position, error) {
	parts := strings.Split(id, ".")
	if len(id) > maxIDBytes || len(parts) < 2 || len(parts) > 3 {
		return Position{}, badEventID("it is malformed")
	}
	p, err := s.parsePrefix(parts[0])
	if err != nil {
		return Position{}, err
	}
	p.Index, err = parseIndex(parts[1])
	if err != nil {
		return Position{}, err
	}
	if len(parts) == 3 {
		p.Finish = parts[2]
	}
	return p, nil
}

func (s *Signer) parsePrefix(text string) (Position, error) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) <= macBytes {
		return Position{}, badEventID("it is malformed")
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !s.verify(body, sum) {
		return Position{}, badEventID("its signature is wrong")
	}
	var v signedFields
	if err := cbor.Unmarshal(body, &v); err != nil || v.FirstIndex < 0 {
		return Position{}, badEventID("it is malformed")
	}
	var engine netip.AddrPort
	if err := engine.UnmarshalBinary(v.Engine); err != nil {
		return Position{}, badEventID("its address is malformed")
	}
	return Position{
		Request:    v.Request,
		Attempt:    v.Attempt,
		Pool:       v.Pool,
		Engine:     engine,
		FirstIndex: v.FirstIndex,
		BodyDigest: v.BodyDigest,
	}, nil
}

func (s *Signer) verify(body, sum []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(sum, mac(k, body)) {
			return true
		}
	}
	return false
}

func parseIndex(text string) (int, error) {
	if len(text) > maxIndexDigits {
		return 0, badEventID("its index is malformed")
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, badEventID("its index is malformed")
	}
	return n, nil
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func badEventID(what string) error {
	return tlverdict.New(tlverdict.BadEventID, "the event id can't be used: %s", what)
}
