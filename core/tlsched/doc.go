// Package tlsched decides, for the home instance of one pool, which request
// runs where and when: it orders the queue, reserves decode memory and the
// link before a prefill starts, and refuses what can't be served in time.
//
// The owner of a request calls Submit once and then reports: PrefillDone or
// PrefillFailed after StartPrefill, TransferDone, TransferStalled or
// TransferFailed after StartTransfer, Progress now and then while it decodes,
// and at the end Finished, DecodeFailed or Cancelled. Finished and Cancelled
// end the request whatever attempt they name. Abandon tells the owner to cancel
// an attempt at the engines; a new StartPrefill may follow. Refuse ends the
// request at the home.
package tlsched
