// Package tlreconcile reconciles the engines of the pools whose home an instance
// is with the declared roles, models, versions and adapters.
//
// A pool's lease is held only while the pool differs from what is declared, so
// that an idle fleet appends nothing to the log. Every order carries the lease's
// fencing number. After an order to an engine, only reports that the engine made
// later are used.
//
// Engines that check the fencing number refuse a late order of a former holder.
// With engines that don't, a former holder that was paused for longer than
// Times.SettleDelay may still send one order after it resumes, based on what it
// observed before the pause: a load or unload, which is observed and repaired, or
// a change of role that was planned while two other replicas of the old role were
// left. Such a pool can therefore temporarily run with one replica fewer than the
// lease holder assumes, or load a version that is no longer declared. It can't
// lose the last replica of a role unless more than one former holder resumes at
// the same time.
package tlreconcile
