// Package tlfleet plans the orders that bring the engines of one pool from their
// reported state to the declared one: roles, models, versions and adapters.
//
// Loads come first, since they only add to what an engine runs. A model that is no
// longer declared is unloaded only after every declared model is ready on the same
// engine, and an engine changes its role only while other engines of the old role
// have capacity for its work. All orders are idempotent, and a plan ignores an
// engine whose report is older than the last order to it.
package tlfleet
