// Package tlprefix remembers which engine probably caches which prefix of a
// prompt, from cache events that come late and with gaps.
package tlprefix
