package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// world is one run of a case: a store, gateway processes, and the record of what happened.
type world struct {
	store    *tlstand.Store
	dir      string
	program  string
	template string
	gateways []*gatewayProcess
	began    time.Time

	mu     sync.Mutex
	record *os.File
}

// gatewayProcess is one process of the project's own program.
type gatewayProcess struct {
	name, listen, readiness, lookup, metrics string
	zone                                     string
	cmd                                      *exec.Cmd
	done                                     chan struct{}
	stopped                                  bool
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	t, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	return &world{store: tlstand.NewStore(), dir: dir, program: "target/trefoillanding-gateway", template: string(t), record: f, began: time.Now()}, nil
}

// note writes a line into the record.
func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
}

// say writes a line into the record and to standard output.
func (w *world) say(format string, a ...any) {
	w.note(format, a...)
	fmt.Printf(format+"\n", a...)
}

// freeIP returns a loopback address of which nobody else takes ports: those of 127.0.0.1
// go to outgoing connections at any time.
func freeIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// settings fills in the template of the deploy file with the bounds of the smallest sites.
func (w *world) settings(g *gatewayProcess, peer string) string {
	ip, peerPort, _ := net.SplitHostPort(peer)
	_, metricsPort, _ := net.SplitHostPort(g.metrics)
	return strings.NewReplacer(
		"{{node}}", g.name, "{{zone}}", g.zone, "{{region}}", "ege",
		"{{listen.frontend}}", g.listen, "{{ip}}", ip, "{{port_range.0}}", peerPort,
		"{{provider.address}}", w.store.Address().String(),
		"{{listen.readiness}}", g.readiness, "{{listen.directory}}", g.lookup, "{{port_range.1}}", metricsPort,
		"{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", "134",
		"{{bounds.lease_ms}}", "3000", "{{bounds.grace_s}}", "8",
		"{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "54", "{{bounds.budget_window_s}}", "10",
		"{{provider.writes_per_s}}", "400",
	).Replace(w.template)
}

// startGateway starts a process with the run command of the deploy file.
func (w *world) startGateway(name, zone string) (*gatewayProcess, error) {
	ip := freeIP()
	g := &gatewayProcess{name: name, zone: zone, listen: freeAddress(ip), readiness: freeAddress(ip), lookup: freeAddress(ip), metrics: freeAddress(ip)}
	file := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(w.settings(g, freeAddress(ip))), 0o600); err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, w.launch(g)
}

func (w *world) launch(g *gatewayProcess) error {
	log, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.program, "serve", "--settings", filepath.Join(w.dir, g.name+".yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.cmd, g.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	w.note("process %s started, clients at %s", g.name, g.listen)
	return nil
}

// signal sends a signal to a process that this run started.
func (w *world) signal(g *gatewayProcess, s syscall.Signal) {
	g.stopped = s == syscall.SIGSTOP || g.stopped && s != syscall.SIGCONT
	_ = g.cmd.Process.Signal(s)
	w.note("process %s gets %s", g.name, s)
}

// hasEnded reports whether a process has ended.
func (g *gatewayProcess) hasEnded() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// isReady asks a process for its readiness, as the platform does.
func (g *gatewayProcess) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + g.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady(d time.Duration) error {
	until := time.Now().Add(d)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(until) {
				return errors.New(g.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.note("process %s is ready", g.name)
	}
	return nil
}

// close ends all that the run started.
func (w *world) close() {
	for _, g := range w.gateways {
		if g.cmd == nil || g.cmd.Process == nil {
			continue
		}
		if g.stopped {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
		}
		_ = g.cmd.Process.Kill()
		<-g.done
	}
	w.store.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, keep)
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// putConfig writes the operator's configuration.
func (w *world) putConfig(c tlform.Configuration) {
	w.store.PutJSON("keyed.op", "config", c)
	w.note("operator writes configuration %d", c.Version)
}

// outcome is what a client has received.
type outcome struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (o outcome) String() string {
	if o.err != nil && o.status == 0 {
		return "no answer: " + o.err.Error()
	}
	s := fmt.Sprintf("%d seal=%q", o.status, o.header.Get("X-Trefoillanding-Response-Seal"))
	if o.err != nil {
		s += " cut: " + o.err.Error()
	}
	return s
}

// request is a client's request.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 map[string]string
}

// client keeps connections open, as the platform's clients do.
type client struct {
	w *world
	c http.Client
}

func (w *world) newClient() *client {
	return &client{w: w, c: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// do sends a request once and reads the answer.
func (c *client) do(address string, r request) outcome {
	ctx, stop := context.WithTimeout(context.Background(), r.deadline)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return outcome{err: err}
	}
	// The client's own library must not send a request again: it does so only where it
	// knows that the body can be read again.
	q.Body, q.GetBody = io.NopCloser(bytes.NewReader([]byte(r.body))), nil
	q.Host = tlstand.Host
	q.Header.Set("X-Trefoillanding-Attempt-Id", r.id)
	q.Header.Set("X-Trefoillanding-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for k, v := range r.header {
		q.Header.Set(k, v)
	}
	c.w.note("client sends %s %s %s to %s %v", r.id, r.method, r.path, address, r.header)
	a, err := c.c.Do(q)
	if err != nil {
		o := outcome{err: err}
		c.w.note("client gets %s: %s", r.id, o)
		return o
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	o := outcome{status: a.StatusCode, header: a.Header, body: b, err: err}
	c.w.note("client gets %s: %s, %d bytes", r.id, o, len(b))
	return o
}
