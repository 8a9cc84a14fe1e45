// Package tlreconcile drives the engines of the pools whose home an instance is
// to the declared roles, models, versions and adapters.
//
// A pool's lease is taken only while the pool differs from what is declared, so
// that an idle fleet appends nothing. Every order carries the lease's fencing
// number. After each order to an engine, only a report made later counts for it.
//
// Engines that check the number refuse a former holder's late order. With ones
// that ignore it, a former holder that was paused for longer than Settle may
// still carry out one order after it wakes, chosen from what it saw before: a
// load or unload that is observed and repaired, or a change of role while two
// other replicas of the old role were left. So such a pool can for a moment run
// with one replica fewer than the holder of the lease believes, or load a
// version that is no longer declared; it can't lose the last replica of a role
// unless more than one former holder wakes at the same time.
package tlreconcile
