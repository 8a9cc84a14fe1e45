// Package tlreserve keeps the reservations of one engine's KV-cache memory, counted in pieces of a fixed number of tokens.
package tlreserve
