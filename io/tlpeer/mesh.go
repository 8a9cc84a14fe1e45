package tlpeer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
)

// Mesh holds the connections between one instance and the others.
type Mesh struct {
	o        Options
	handlers map[string]handler
	// handlersByPath serves the other paths of the peer port.
	handlersByPath map[string]http.Handler
	listener       net.Listener
	server         *http.Server
	handshakes     chan struct{}
	ctx            context.Context
	cancel         context.CancelFunc
	running        sync.WaitGroup
	done           chan struct{}

	// onUnreachable is called with the name of a peer that could not be reached; it
	// is set before Start.
	onUnreachable func(peer string)

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// maxHandshakes limits the accepted connections that are in the handshake at once.
const maxHandshakes = 64

// New returns a mesh that listens on the options' address; it accepts no
// connection before Start.
func New(o Options) (*Mesh, error) {
	l, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		o:        o,
		handlers: map[string]handler{},

		handlersByPath: map[string]http.Handler{},
		listener:       l,
		handshakes:     make(chan struct{}, maxHandshakes),
		ctx:            ctx,
		cancel:         cancel,
		done:           make(chan struct{}),
		links:          map[string]*link{},

		onUnreachable: func(string) {},
	}
	m.server = &http.Server{
		Handler:           http.HandlerFunc(m.accept),
		ReadHeaderTimeout: handshakeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         o.ConnState,
		ConnContext:       o.ConnContext,
		ErrorLog:          newDiscardLogger(),
	}
	return m, nil
}

// HandleHTTP has requests for a path on the peer port served by a handler; it is called before Start.
func (m *Mesh) HandleHTTP(path string, h http.Handler) {
	m.handlersByPath[path] = h
}

// AddressOf returns the address on which an instance listens for others; false if it is not known.
func (m *Mesh) AddressOf(name string) (netip.AddrPort, bool) {
	m.mu.Lock()
	l := m.links[name]
	m.mu.Unlock()
	if l == nil {
		return netip.AddrPort{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address, l.address.IsValid()
}

// Start accepts connections in the background; all handlers must be registered before.
func (m *Mesh) Start() {
	l := m.listener
	if m.o.Wrap != nil {
		l = m.o.Wrap(l)
	}
	if m.o.Credentials != nil {
		l = m.o.Credentials.listener(l)
	}
	go func() {
		_ = m.server.Serve(l)
		<-m.ctx.Done()
		m.running.Wait()
		close(m.done)
	}()
}

// Close starts to end all connections and does not wait; Done is closed when they
// have ended.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	_ = m.server.Close()
	_ = m.listener.Close()
}

// Done returns a channel that is closed when the mesh has ended.
func (m *Mesh) Done() <-chan struct{} {
	return m.done
}

// Address returns the address that the mesh listens on.
func (m *Mesh) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.listener.Addr().String())
	return a
}

// SetInstances applies the platform's list of instances, which may be out of date:
// it updates the addresses and drops unused links to instances no longer listed.
func (m *Mesh) SetInstances(l tlwire.InstanceList) {
	listed := map[string]bool{m.o.Name: true}
	for _, i := range l.Instances {
		if i.Kind != tlwire.InstanceKindEntry || i.Name == m.o.Name {
			continue
		}
		listed[i.Name] = true
		m.ensureLink(i.Name).setAddress(i.PeerAddress)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.links {
		if !listed[name] && !l.isInUse() {
			delete(m.links, name)
		}
	}
}

func (l *link) isInUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil || l.dialling != nil
}

// Connections returns the number of peers with a connection or a dial in progress.
func (m *Mesh) Connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, l := range m.links {
		if l.isInUse() {
			n++
		}
	}
	return n
}

func (m *Mesh) ensureLink(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[name]
	if l == nil {
		l = &link{name: name}
		m.links[name] = l
	}
	return l
}

func (m *Mesh) findLink(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// run serves an open connection until it ends.
func (m *Mesh) run(c *connection) {
	if !m.beginWork() {
		c.close()
		return
	}
	defer m.running.Done()
	l := m.ensureLink(c.peer.Name)
	if old := l.adopt(c); old != nil {
		m.count(countConnectionReplaced)
		old.close()
	}
	c.run()
	l.clearCurrent(c)
	m.count(countConnectionEnded)
}

// beginWork reports whether the mesh is open, and if so delays its end until the
// caller calls running.Done.
func (m *Mesh) beginWork() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running.Add(1)
	return true
}

// background runs f in a goroutine unless the mesh is closed; the mesh's end waits
// for f.
func (m *Mesh) background(f func()) {
	if !m.beginWork() {
		return
	}
	go func() {
		defer m.running.Done()
		f()
	}()
}

func (m *Mesh) count(reason string) {
	m.o.Add(reason, 1)
}

func (m *Mesh) now() time.Time {
	return m.o.Now()
}
