// Package tlplace decides, for the home of a service of model engines, which
// engines read a request's prompt and generate its answer, and when.
//
// It answers two loads. Bursts of long prompts fill the decode engines' memory
// while their prefills would end in nothing: a place is booked at a decode
// engine before the prompt is read, and what can't be served before its caller
// leaves is refused at once with the time at which there will be room. Small
// requests that pass a large one for ever: a request whose turn it is has the
// memory of one engine kept for it once it has waited for long.
//
// It also answers engines and ways in trouble: an engine that loses answers gets
// a request only where no other has room, and while answers stall between data
// centres the owner's own goes first.
//
// A Book is driven by its home: Submit, Withdraw, Prefilled, Ended and Tick
// return decisions to deliver. It is not safe for concurrent use.
package tlplace
