// Package tlconfigure keeps one instance's configuration in step with the
// platform's log: it proposes what operators apply, reads or is passed the
// log's records, and puts in force what their fold gives.
//
// A few instances of each data centre read the log; the others ask one of them
// for the records, by a call that waits for the next one. An instance that
// hears of a generation which it doesn't get reads the log itself. A new
// instance begins with a peer's state or the log, whichever is newer.
//
// What is promised to an instance cut off from the log and all peers: it keeps
// the generation that it has, never an older one, and serves on with it, since
// it can't tell an idle log from a lost one. Calls that must not repeat need
// the log and are refused by themselves; peers doubt the instance and offer it
// to nobody. Age tells how long ago it last was known to be current.
package tlconfigure
