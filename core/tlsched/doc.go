// Package tlsched schedules the requests of one pool; it runs on the pool's home
// instance. It orders the queue, reserves decode memory and the link before a
// prefill starts, and refuses requests that can't be served in time.
//
// The owner of a request calls Submit once and then reports: PrefillDone or
// PrefillFailed after StartPrefill, TransferDone, TransferStalled or
// TransferFailed after StartTransfer, Progress repeatedly while it decodes, and
// at the end Finished, DecodeFailed or Cancelled. Finished and Cancelled end the
// request whatever attempt they name. The step Abandon tells the owner to cancel
// an attempt at the engines; a new StartPrefill may follow. The step Refuse ends
// the request at the home instance.
package tlsched
