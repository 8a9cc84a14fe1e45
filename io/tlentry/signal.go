package tlentry

import (
	"os"
	"os/signal"
	"syscall"
)

// TakeSignals returns a channel of SIGTERM and SIGINT and removes the HTTP library's
// handlers for them. The library would stop listening 1 s after a signal and send it
// again after 5.5 s, which would cut off the requests of a draining instance. Call it
// after the server has started to listen.
func TakeSignals() chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}
