// Package tlreserve keeps the book of one engine's memory, in pieces.
package tlreserve
