// Package tlplace decides which engines of a model service read a request's
// prompt (prefill) and generate its answer (decode), and when. It runs at the
// service's home, the instance that makes these decisions.
//
// It solves two load problems. Bursts of long prompts fill the decode engines'
// memory, and their prefills would be wasted: memory at a decode engine is
// therefore booked before the prompt is read, and a request that can't be served
// before its caller gives up is refused at once, with the time after which there
// will be room. Small requests could pass a large one for ever: the free memory
// of one engine is therefore reserved for the first request in the queue once it
// has waited for Options.ReserveAfter.
//
// In an overload, requests that can still be on time go first, and one that is late
// is refused once no room is expected for it in time. What the book knows of its
// engines' speed is measured (package tlrate) and unknown at first; what is unknown
// refuses nobody.
//
// A request that has begun goes on at its version of the engines alone. Where that has lost
// its decode engines, it waits for a prefill engine to change its role, or is told when to
// return.
//
// It also handles failing engines and networks: an engine that loses answers gets
// a request only where no other has room, and while answers stall between data
// centres, engines in the owner's data centre are preferred.
//
// A Book is driven by its home through Submit, Withdraw, Prefilled, Ended and
// Tick; Submit and Tick return decisions to deliver. It is not safe for
// concurrent use.
package tlplace
