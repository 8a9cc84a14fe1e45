// Package tlquarantine decides which requests no endpoint of a service may be given,
// since endpoints crash when they begin to run them.
//
// The load that it answers: a request, or one part of a prompt that many requests share,
// crashes each endpoint that begins on it. The requests come at all instances and are
// repeated, so that each of them takes another endpoint, or two, until none is left for
// the sound requests of the service.
//
// What requests have in common are their parts: those of their prompts, and the request
// itself, without and with what may change when it is repeated. The evidence is crashes
// under requests whose answers had not begun. A part is to blame once MinCrashes
// different incarnations of endpoints have ended under requests with it, and no answer on
// it was completed for a time: sound parts that many requests share are found beside the
// one to blame, but answers on them are. An answer that has only begun proves nothing,
// since an engine may crash soon after. Where more than one part of a crashed request
// would do, the last is blamed, as the most specific. Crashes at one moment count as one
// against a part of a prompt: a fault of the network cuts off many endpoints at once. An
// endpoint that answers afterwards did not crash.
//
// An answer that is completed on a part in quarantine, of a request that was in flight,
// shows that another is to blame; the part is free again, and what was held against it
// counts against those beside it.
//
// A part may be blamed wrongly, so a few requests with it are tried while it is in
// quarantine, one at a time. One that lacks a part which all the crashed ones had in
// common is tried at once, since its answer tells those parts apart.
//
// A Table is driven by the home of a service. It is not safe for concurrent use.
package tlquarantine
