package tlgateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlhealth"
	"trefoillanding/io/tlsend"
)

func TestOnlyABrokenConnectionIsTakenForACrash(t *testing.T) {
	read := func(err error) error { return &net.OpError{Op: "read", Err: os.NewSyscallError("read", err)} }
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"1 closed", io.EOF, true},
		{"2 closed within an answer", io.ErrUnexpectedEOF, true},
		{"3 reset", read(syscall.ECONNRESET), true},
		{"4 not acknowledged for long, as behind a cut", read(syscall.ETIMEDOUT), false},
		{"5 no route", read(syscall.EHOSTUNREACH), false},
		{"6 past the deadline", context.DeadlineExceeded, false},
		{"7 cancelled", context.Canceled, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &tlsend.Error{Endpoint: "e", MayHaveRun: true, Outcome: tlhealth.Broken, Err: c.err}
			assert.Equal(t, c.want, isBreak(f))
			f.MayHaveRun = false
			assert.False(t, isBreak(f), "nothing was sent")
			f.MayHaveRun, f.Outcome = true, tlhealth.TimedOut
			assert.False(t, isBreak(f))
		})
	}
	assert.False(t, isBreak(nil))
	assert.False(t, isBreak(errors.New("another")))
}
