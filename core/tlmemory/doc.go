// Package tlmemory decides what an instance holds for callers that it does not control.
//
// The load that it answers is callers that send bodies without end or far over the limit,
// stop short of their end, do not read their answers, or open connections and send
// nothing: as many at once as the machine's descriptors allow, from one address or many.
//
// A Plan divides the memory and the descriptors of the machine. Bytes grants the bytes of
// bodies, answers and events; Connections says which connections are accepted, and which
// are closed for them. Neither does I/O, and neither is safe for concurrent use.
package tlmemory
