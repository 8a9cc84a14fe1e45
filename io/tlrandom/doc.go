// Package tlrandom seeds the random sources that are passed to the core packages.
package tlrandom
