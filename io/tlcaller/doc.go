// Package tlcaller is a caller of the system: it asks which instance to use,
// keeps the answer for a while, and goes on with a broken stream elsewhere.
// The demonstration, the load tool and the tests use it.
package tlcaller
