package tlentry

import (
	"os"
	"os/signal"
	"syscall"
)

// TakeSignals returns a channel of SIGTERM and SIGINT, and takes them from the
// library, which would stop listening a second after one and send it once more
// after 5.5 s: that cuts the requests of an instance that drains. It is called
// once the server listens.
func TakeSignals() chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}
