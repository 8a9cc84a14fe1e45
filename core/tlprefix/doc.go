// Package tlprefix estimates which engine caches which prefix of a prompt, from
// cache events that arrive late and with gaps.
package tlprefix
