package tlanswer

import "sync"

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// upload follows the bytes of a request onto its connection. They are counted here, since the
// Transport tells that it has written a request before it flushes the last of them.
type upload struct {
	mu sync.Mutex
	// matched is the number of bytes of headEnd that have been written in a row.
	matched int
	// left is the number of bytes of the body that have not been written.
	left int64
	// isWhole says that all has been written, without an error.
	isWhole bool
	// settled is closed once isWhole is known.
	settled   chan struct{}
	isSettled bool
}

// newUpload returns the upload of a request with a body of length bytes.
func newUpload(length int64) *upload {
	return &upload{left: length, settled: make(chan struct{})}
}

// wrote takes in a write, with the bytes that it has written and its error.
func (u *upload) wrote(b []byte, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.left -= int64(len(u.cutHead(b)))
	switch {
	case err != nil:
		u.settle(false)
	case u.matched == len(headEnd) && u.left <= 0 && !u.isSettled:
		u.settle(true)
	}
}

// cutHead returns what of the bytes written belongs to the body.
func (u *upload) cutHead(b []byte) []byte {
	for i := 0; u.matched < len(headEnd); i++ {
		switch {
		case i == len(b):
			return nil
		case b[i] == headEnd[u.matched]:
			u.matched++
		case b[i] == headEnd[0]:
			u.matched = 1
		default:
			u.matched = 0
		}
		if u.matched == len(headEnd) {
			return b[i+1:]
		}
	}
	return b
}

// abandon notes that nothing more will be written.
func (u *upload) abandon() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isSettled {
		u.settle(false)
	}
}

// settle notes whether the request was written whole; u.mu must be held.
func (u *upload) settle(isWhole bool) {
	u.isWhole = isWhole
	if !u.isSettled {
		u.isSettled = true
		close(u.settled)
	}
}

// wait waits until the request has been written or can't be any more; it reports whether it
// was written whole. The end of the request's context closes the connection, which ends it.
func (u *upload) wait() bool {
	<-u.settled
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isWhole
}
