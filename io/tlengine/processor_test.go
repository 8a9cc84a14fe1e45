package tlengine_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// processorTime returns the CPU time that the process has used so far.
func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
