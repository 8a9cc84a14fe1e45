package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/platform"
)

const (
	// metricsPath and statusPath serve the counters and the status page.
	metricsPath = "/metrics"
	statusPath  = "/status"
	// lookupHeaderTimeout bounds the reading of a lookup request's header.
	lookupHeaderTimeout = 2 * time.Second
	// lookupIdleTimeout is how long an idle connection of lookups is kept open.
	lookupIdleTimeout = 5 * time.Second
	// limitsTimeout is how long an instance waits for the limits of the
	// configuration before it serves without one and refuses requests for that reason.
	limitsTimeout = 1500 * time.Millisecond
	// limitsPollInterval is the time between checks for a configuration.
	limitsPollInterval = 5 * time.Millisecond
)

// servers holds the HTTP servers of an instance and their listeners.
type servers struct {
	callers         *http.Server
	lookups         *http.Server
	callerListener  net.Listener
	lookupListeners []net.Listener
}

func (i *Instance) listen() error {
	h := http.NewServeMux()
	h.Handle("/", platform.LookupHandler(i.addresses, i.settings.Gateway.KeepLookup, i.isReady))
	h.Handle("GET "+metricsPath, i.metrics)
	h.HandleFunc("GET "+statusPath, i.serveStatus)
	i.servers.lookups = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: lookupHeaderTimeout,
		IdleTimeout:       lookupIdleTimeout,
		ConnState:         noteState,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	i.servers.callers = &http.Server{
		Handler:                      http.HandlerFunc(i.serve),
		DisableGeneralOptionsHandler: true,
		ConnState:                    noteState,
		ConnContext:                  withConn,
		// callerConn sees to the limit in force.
		MaxHeaderBytes: math.MaxInt32,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
	g := i.settings.Gateway
	for _, a := range []netip.AddrPort{g.Readiness, g.Lookup, g.Metrics} {
		if !a.IsValid() {
			continue
		}
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			i.servers.close()
			return fmt.Errorf("listen: %w", err)
		}
		i.servers.lookupListeners = append(i.servers.lookupListeners, i.pools.lookups.listener(l.(*net.TCPListener)))
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(i.settings.Listen))
	if err != nil {
		i.servers.close()
		return fmt.Errorf("field Listen: %w", err)
	}
	i.servers.callerListener = callerListener{i.pools.callers.listener(l), callerLimits{idle: i.idleLimit, headerBytes: i.headerLimit}}
	return nil
}

func (i *Instance) serve(w http.ResponseWriter, r *http.Request) {
	headerRead(r)
	i.gateway.ServeHTTP(w, r)
}

// serveLookups answers lookups, readiness, metrics and status until the server is closed.
func (i *Instance) serveLookups() {
	var serving sync.WaitGroup
	for _, l := range i.servers.lookupListeners {
		serving.Go(func() { i.logServeError(l, i.servers.lookups.Serve(l)) })
	}
	serving.Wait()
}

// logServeError logs why an address is no longer served, unless the instance is closing.
func (i *Instance) logServeError(l net.Listener, err error) {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	i.log.WithFields(logrus.Fields{"Address": l.Addr().String(), "Cause": err.Error()}).Error("address no longer served")
}

// idleLimit returns the idle limit of the configuration in force; 0 before the first.
func (i *Instance) idleLimit() time.Duration {
	t := i.table.Load()
	if t == nil {
		return 0
	}
	return t.Limits.IdleTimeout
}

// headerLimit returns the limit of headers, in bytes, of the configuration in force, or
// of the settings before the first.
func (i *Instance) headerLimit() int {
	t := i.table.Load()
	if t == nil {
		return i.settings.Limits.HeaderBytes
	}
	return max(t.Limits.HeaderBytes, 1)
}

// serveCallers serves callers. The time for a header is that of the first configuration,
// since http.Server reads it only at its start; callerListener sees to the other limits.
func (i *Instance) serveCallers(ctx context.Context) {
	began := time.Now()
	for i.table.Load() == nil && time.Since(began) < limitsTimeout {
		wait(ctx, limitsPollInterval)
	}
	s := i.servers.callers
	s.ReadHeaderTimeout = i.settings.Limits.HeaderTimeout
	if t := i.table.Load(); t != nil {
		s.ReadHeaderTimeout = t.Limits.HeaderTimeout
	}
	i.logServeError(i.servers.callerListener, s.Serve(i.servers.callerListener))
}

func (s *servers) close() {
	if s.callers != nil {
		_ = s.callers.Close()
	}
	if s.lookups != nil {
		_ = s.lookups.Close()
	}
	for _, l := range s.lookupListeners {
		_ = l.Close()
	}
	if s.callerListener != nil {
		_ = s.callerListener.Close()
	}
}
