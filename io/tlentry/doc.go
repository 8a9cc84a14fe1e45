// Package tlentry serves callers and operators over HTTP and answers every refusal
// and error with a verdict and a body, and counts it.
//
// The server is go-zero's rest with all of its middlewares switched off, since they
// refuse requests without a verdict.
package tlentry
