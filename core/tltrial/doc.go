// Package tltrial runs one experiment under virtual time: owners that act on a
// policy's steps, engines and links that fail, reports that come late.
package tltrial
