// Package core has no code of its own: the packages below it hold the decision
// logic, which does no I/O and reads no clock; a test here enforces that.
package core
