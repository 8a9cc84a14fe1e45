package tlprompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is the assumed length of a token's text, in bytes.
	TokenBytes = 4
	// BlockBytes is the length of the text of one prefix-cache block, in bytes.
	BlockBytes = 1024
	// BlockTokens is the length of a prefix-cache block, in tokens.
	BlockTokens = BlockBytes / TokenBytes
)

// Tokens returns the length of a text in tokens, rounded up.
func Tokens(text string) int {
	return (len(text) + TokenBytes - 1) / TokenBytes
}

// Blocks returns the hashes of the complete blocks of a prompt; each hash covers the block and all before it.
func Blocks(prompt string) []uint64 {
	n := len(prompt) / BlockBytes
	blocks := make([]uint64, 0, n)
	var previous uint64
	for i := range n {
		previous = chainHash(previous, prompt[i*BlockBytes:(i+1)*BlockBytes])
		blocks = append(blocks, previous)
	}
	return blocks
}

func chainHash(previous uint64, text string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}
