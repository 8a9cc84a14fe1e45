// Package tlcaller is a client of the system: it asks which instances to use,
// caches the answer for as long as the answer allows, and resumes a broken
// stream at another instance.
// The demonstration, the load tool and the tests use it.
package tlcaller
