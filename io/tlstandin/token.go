package tlstandin

import (
	"math/bits"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of every token, so that a prompt with the tokens of
// its answer behind it has as many tokens as both together.
const TokenBytes = 4

// words is the number of different tokens; a token repeats after that many.
const words = len(consonants) * len(vowels) * len(consonants)

const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
	// stride is prime to words, so that neighbouring tokens differ clearly.
	stride = 397
	// answerMark in a prompt sets the length of its answer.
	answerMark = "answer="
	// shortestAnswer and answerSpread bound the length of an answer without a mark.
	shortestAnswer = 16
	answerSpread   = 112
)

// Token returns the token at an index of the answer to a prompt.
func Token(prompt string, index int) string {
	return string(appendToken(nil, seedOf(prompt), index))
}

// Answer returns the tokens from one index up to another of the answer to a prompt.
func Answer(prompt string, from, to int) string {
	s := seedOf(prompt)
	b := make([]byte, 0, max(to-from, 0)*TokenBytes)
	for i := from; i < to; i++ {
		b = appendToken(b, s, i)
	}
	return string(b)
}

// Length returns how many tokens the whole answer to a prompt has: the number
// that follows "answer=" in it, or one drawn from its hash.
func Length(prompt string) int {
	_, after, found := strings.Cut(prompt, answerMark)
	if !found {
		return shortestAnswer + int(seedOf(prompt)%answerSpread)
	}
	end := strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		after = after[:end]
	}
	n, err := strconv.Atoi(after)
	if err != nil {
		return shortestAnswer
	}
	return n
}

// Tokens returns the number of tokens of a prompt.
func Tokens(prompt string) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// original cuts delivered tokens off a prompt; it fails when they are not the
// first ones of the answer to what is left.
func original(prompt string, delivered int) (string, bool) {
	n := len(prompt) - delivered*TokenBytes
	if n < 0 {
		return "", false
	}
	o := prompt[:n]
	return o, Answer(o, 0, delivered) == prompt[n:]
}

func seedOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

func appendToken(b []byte, seed uint64, index int) []byte {
	_, start := bits.Div64(0, seed, uint64(words))
	w := (int(start) + index*stride) % words
	c := len(consonants)
	return append(b, consonants[w%c], vowels[w/c%len(vowels)], consonants[w/c/len(vowels)], ' ')
}
