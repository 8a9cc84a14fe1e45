package tlprompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is how much text makes one token, in bytes.
	TokenBytes = 4
	// BlockBytes is how much text makes one block of the prefix cache, in bytes.
	BlockBytes = 1024
	// BlockTokens is the length of a block in tokens.
	BlockTokens = BlockBytes / TokenBytes
)

// Tokens returns the length of a text in tokens.
func Tokens(text string) int {
	return (len(text) + TokenBytes - 1) / TokenBytes
}

// Blocks returns the chained hashes of the whole blocks of a prompt.
func Blocks(prompt string) []uint64 {
	n := len(prompt) / BlockBytes
	blocks := make([]uint64, 0, n)
	var previous uint64
	for i := range n {
		previous = chain(previous, prompt[i*BlockBytes:(i+1)*BlockBytes])
		blocks = append(blocks, previous)
	}
	return blocks
}

func chain(previous uint64, text string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}
