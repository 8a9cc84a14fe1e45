// Package tlentry takes the calls of callers and operators over HTTP and gives
// every refusal and error its verdict, body and counter.
//
// The server is go-zero's rest with all of its own middlewares switched off,
// since each of them refuses without a verdict.
package tlentry
