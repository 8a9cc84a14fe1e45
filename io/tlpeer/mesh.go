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

// Mesh holds the connections of one instance to the others.
type Mesh struct {
	o        Options
	handlers map[string]handler
	listener net.Listener
	server   *http.Server
	opening  chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	done     chan struct{}

	// unreachable is told of peers that could not be reached; it is set before Start.
	unreachable func(peer string)

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// maxOpening is the most connections that may be without a hello at once.
const maxOpening = 64

// New listens on the options' address; nothing is accepted before Start.
func New(o Options) (*Mesh, error) {
	l, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		o:        o,
		handlers: map[string]handler{},
		listener: l,
		opening:  make(chan struct{}, maxOpening),
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		links:    map[string]*link{},

		unreachable: func(string) {},
	}
	m.server = &http.Server{
		Handler:           http.HandlerFunc(m.accept),
		ReadHeaderTimeout: helloTimeout,
		MaxHeaderBytes:    maxHelloBytes,
		ErrorLog:          quiet(),
	}
	return m, nil
}

// Start accepts connections; all handlers must be set before.
func (m *Mesh) Start() {
	l := m.listener
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

// Close ends all connections; Done tells when that has happened.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	_ = m.server.Close()
	_ = m.listener.Close()
}

// Done is closed when the mesh has ended.
func (m *Mesh) Done() <-chan struct{} {
	return m.done
}

// Address returns where the mesh listens.
func (m *Mesh) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.listener.Addr().String())
	return a
}

// SetInstances takes in the platform's lagging list of instances.
func (m *Mesh) SetInstances(l tlwire.InstanceList) {
	listed := map[string]bool{m.o.Name: true}
	for _, i := range l.Instances {
		if i.Kind != tlwire.InstanceKindEntry || i.Name == m.o.Name {
			continue
		}
		listed[i.Name] = true
		m.link(i.Name).move(i.PeerAddress)
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

// Connections counts the open connections.
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

func (m *Mesh) link(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[name]
	if l == nil {
		l = &link{name: name}
		m.links[name] = l
	}
	return l
}

func (m *Mesh) known(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// run serves an open connection until it ends.
func (m *Mesh) run(c *connection) {
	if !m.enter() {
		c.close()
		return
	}
	defer m.running.Done()
	l := m.link(c.peer.Name)
	if old := l.use(c); old != nil {
		m.count(countReplaced)
		old.close()
	}
	c.run()
	l.drop(c)
	m.count(countLost)
}

// enter says whether the mesh is still open, and if so makes its end wait for running.
func (m *Mesh) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running.Add(1)
	return true
}

// background runs f unless the mesh is closed; the mesh ends after f.
func (m *Mesh) background(f func()) {
	if !m.enter() {
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
