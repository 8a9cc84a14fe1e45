// Package tlanswer is the HTTP transport through which all answers are read: those of
// endpoints, engines, other instances and the platform. It returns an answer only if HTTP/1
// allows its head, and ends its body without an error only if something proves that the body
// is whole.
//
// The end of a body is proved by its length or its chunks. A body with neither ends with its
// connection, and a socket reports a reset to one call only: if that is the write of the
// request, the read that follows sees an end like any other. Such an end counts only once the
// request has been written whole, without a failed write.
//
// net/http refuses heads that are malformed in other ways: names with bytes that no token
// holds, other than blanks, and values with control bytes. It joins folded lines.
package tlanswer
