// Package core holds no code of its own: the folders below it hold the
// decisions, which do no I/O and read no clock, and a test here keeps them so.
package core
