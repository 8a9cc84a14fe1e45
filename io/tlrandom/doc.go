// Package tlrandom seeds the sources of randomness that the core is passed.
package tlrandom
