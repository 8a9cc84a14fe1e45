// Package tlmeter keeps organisations within their quotas over all instances together.
//
// Each organisation has a home, an instance that is drawn for it. The instance that takes
// a request asks the home once, before the body is read, and gives back what the request
// was charged if it ends without having run. While the home gives no answer, an instance
// grants its own part of the quota.
//
// Lock order: Meter.mu is a leaf lock and never held during I/O.
package tlmeter
