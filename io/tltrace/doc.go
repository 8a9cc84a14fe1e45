// Package tltrace logs the decisions made for each request. The steps of a request
// are kept until it ends and written as structured log lines if it failed, was
// late, or falls into the sample; traces and steps that are left out are counted.
// Lines pass through a bounded buffer, so that a blocked output blocks no request.
package tltrace
