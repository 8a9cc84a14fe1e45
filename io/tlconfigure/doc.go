// Package tlconfigure replicates the configuration to one instance through the
// platform's log: it appends proposals for what operators apply, receives the
// log's records from the log or from a peer, and puts in force the state that
// results from them.
//
// A few instances of each data centre read the log; the others get the records
// from one of them by long polling. An instance that learns of a newer
// generation but does not receive it reads the log itself. A new instance
// starts from a peer's state or from the log, whichever is newer.
//
// An instance that is isolated from the log and from all peers keeps its
// generation, never returns to an older one and continues to serve, since it
// can't tell an idle log from one that it can't reach. Calls that must not run
// twice need the log and are therefore refused; peers suspect the instance and
// offer it to no client. Age returns how long ago the configuration was last
// known to be current.
package tlconfigure
