// Package tlfleet decides which orders bring the engines of one pool from what
// they report to what is declared: roles, models, versions and adapters.
//
// Loads add to what an engine runs and come first; what is no longer declared
// is unloaded only after everything declared is ready on the same engine, and a
// role is given up only while others of it have room for its work. All orders
// are idempotent, and a plan takes no account of an engine whose report is
// older than the last order to it.
package tlfleet
