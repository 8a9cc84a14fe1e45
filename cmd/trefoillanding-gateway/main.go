package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/gateway"
	"trefoillanding/io/tltrace"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

const (
	// memoryLimitFraction is the part of the instance's memory above which garbage is collected harder;
	// the rest is for threads and kernel buffers.
	memoryLimitFraction = 0.7
	// maxQueuedLogLines bounds the log lines that wait for a slow reader of the log.
	maxQueuedLogLines = 4096
)

func main() {
	c := &cli.Command{
		Name:  "trefoillanding-gateway",
		Usage: "route requests to engines and services on the users' platform",
		Commands: []*cli.Command{
			{
				Name:   "serve",
				Usage:  "run an entry instance until SIGTERM, then drain it",
				Flags:  []cli.Flag{settingsFlag()},
				Action: serve,
			},
			{
				Name:   "check",
				Usage:  "check settings",
				Flags:  []cli.Flag{settingsFlag()},
				Action: check,
			},
			checkConfigCommand(),
		},
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the instance's settings `FILE`", Required: true}
}

func readSettings(name string) (tlwire.Settings, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return tlwire.Settings{}, cli.Exit(err, exitUsage)
	}
	s, err := tlsettings.Parse(name, b)
	if err != nil {
		return tlwire.Settings{}, cli.Exit(err, exitUsage)
	}
	return s, nil
}

func check(_ context.Context, c *cli.Command) error {
	_, err := readSettings(c.String("settings"))
	if err == nil {
		fmt.Println("the settings are valid")
	}
	return err
}

func serve(ctx context.Context, c *cli.Command) error {
	// First of all: until then SIGHUP, which is for new settings, ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Gateway.MemoryBytes)))
	w := tltrace.NewWriter(os.Stdout, maxQueuedLogLines)
	l := newLog(w, s.Log)
	i, err := gateway.New(s, l)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	log.SetFlags(0)
	log.SetOutput(i.LibraryLog())
	go reload(hangups, c.String("settings"), l)
	ctx, stop := context.WithCancel(ctx)
	go drainOnSignal(ctx, signals, stop, i)
	if err := i.Run(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	<-ctx.Done()
	i.Close()
	w.Close()
	<-w.Done()
	return nil
}

// drainOnSignal drains the instance on the first signal; a second one stops it at once.
func drainOnSignal(ctx context.Context, signals <-chan os.Signal, stop context.CancelFunc, i *gateway.Instance) {
	<-signals
	drain, cancel := context.WithCancel(ctx)
	go func() {
		<-signals
		cancel()
	}()
	i.Drain(drain)
	stop()
}

// reload checks the settings on each SIGHUP; changes take effect at the next start.
func reload(hangups <-chan os.Signal, file string, l *logrus.Logger) {
	for range hangups {
		_, err := readSettings(file)
		l.WithFields(logrus.Fields{"File": file, "Valid": err == nil}).Info("settings checked; changes take effect at the next start")
	}
}

// newLog returns a logger with the format and level of the settings.
func newLog(w *tltrace.Writer, s *tlwire.LogSettings) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	if s.Format == "text" {
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		l.SetLevel(level)
	}
	return l
}
