// Package tlorder orders engines to change their roles as planned by tlrole.
//
// Only one instance, the holder, gives the orders of a service at a time. Before
// each batch it appends its name to the log of holders, on the condition that the
// log has not grown meanwhile. The fencing number of the batch follows from the
// record's offset. The batch is sent within batchMaxAge or not at all. If the last
// holder was another instance, its record must have been the last one for longer
// than batchMaxAge and the lease together, so that the holder never changes
// within a lease.
//
// A new home reads the holders' records as it becomes one, so that the time of an earlier
// holder runs out before an order is needed. Versions that have lost their decode engines
// are planned more often than the rest, since their callers have a few seconds; engines that
// all fail requests count as lost once they refuse the connections of several instances.
//
// A holder that was paused between record and order notices it by a clock that
// includes suspensions. An order that is sent too late all the same has a lower
// fencing number than those of a later holder, and engines that check the number
// refuse it. Each order states how many orders the engine has accepted before, so
// that an order that is carried out late does not undo a later one.
package tlorder
