package tlanswer

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// connection follows the request that is written on it.
type connection struct {
	net.Conn
	// upload is the latest request's.
	upload atomic.Pointer[upload]
	// endsAnswer says that nothing but the end of the connection ends the answer.
	endsAnswer atomic.Bool
}

// Read reads from the connection. An end that ends an answer is held back until the request
// has been written, and is an error if it could not be.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.endsAnswer.Load() && !c.upload.Load().wait() {
		return n, &Error{Defect: Unproved}
	}
	return n, err
}

// Write writes to the connection.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if u := c.upload.Load(); u != nil {
		u.wrote(b[:n], err)
	}
	return n, err
}

// Close closes the connection; a request that is not written whole won't be.
func (c *connection) Close() error {
	err := c.Conn.Close()
	if u := c.upload.Load(); u != nil {
		u.abandon()
	}
	return err
}
