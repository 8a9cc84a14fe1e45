// Package tlquarantine decides which parts of prompts no engine may be given, since
// engines crash when they begin to write an answer on them.
//
// The load that it answers: one part of a prompt, which many requests share, crashes
// each engine that begins an answer on it. The requests come at all instances and are
// repeated, so that each of them takes another engine, or two, until none is left for
// the sound requests of the service.
//
// The evidence is crashes under requests whose answers had not begun. A part is to
// blame once MinCrashes different incarnations of engines have ended under requests
// with it, and no answer on it was completed for a time: sound parts that many requests
// share are found beside the one to blame, but answers on them are. An answer that has
// only begun proves nothing, since an engine may crash soon after. Where more than
// one part of a crashed request would do, the last is blamed, as the most specific.
// Crashes at one moment count as one: a fault of the network cuts off many engines at
// once. An answer that begins on a part in quarantine, of a request that was in flight,
// shows that another is to blame; the part is free again, and what was held against it
// counts against those beside it.
//
// A Table is driven by the home of a service. It is not safe for concurrent use.
package tlquarantine
