package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"trefoillanding/platform"
	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// program is what the deploy file builds.
const program = "target/trefoillanding-gateway"

// gateway is one process of the project, run as the deploy file says.
type gateway struct {
	name                      string
	file                      string
	listen, readiness, lookup netip.AddrPort

	mu  sync.Mutex
	cmd *exec.Cmd
	log bytes.Buffer
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))})
	var list []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, netip.MustParseAddrPort(l.Addr().String()))
	}
	return list, nil
}

// newGateway writes the settings of a gateway, as deploy/settings.yaml has them on a
// machine of Yengeç Hattı.
func newGateway(folder, name, zone string, store netip.AddrPort) (*gateway, error) {
	a, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, file: filepath.Join(folder, name+".yaml"), listen: a[0], readiness: a[2], lookup: a[3]}
	settings := fmt.Sprintf(`Name: %q
DataCentre: %q
Region: "ege"
Listen: %q
PeerListen: %q
Platform:
  Address: %q
Peers:
  Heartbeat: 250ms
  SuspectAfter: 1s
Log:
  Level: info
  Format: json
Gateway:
  Readiness: %q
  Lookup: %q
  Metrics: %q
  Capacity: 0.4
  MemoryBytes: 134000000
  Lease: 3000ms
  Grace: 8s
  RetryShare: 0.2
  RetryBurst: 54
  RetryWindow: 10s
  StoreWrites: 400
`, name, zone, a[0], a[1], store, a[2], a[3], a[4])
	return g, os.WriteFile(g.file, []byte(settings), 0o600)
}

// start starts the process unless it runs.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		return nil
	}
	c := exec.Command(program, "serve", "--settings", g.file)
	c.Stdout, c.Stderr = &g.log, &g.log
	if err := c.Start(); err != nil {
		return err
	}
	g.cmd = c
	started.Store(c, true)
	return nil
}

// started has the processes that run.
var started sync.Map

// endAll ends all processes that run.
func endAll() {
	started.Range(func(c, _ any) bool {
		_ = c.(*exec.Cmd).Process.Kill()
		return true
	})
}

// end sends a signal by which the process ends, and waits for that.
func (g *gateway) end(s syscall.Signal) {
	g.mu.Lock()
	c := g.cmd
	g.cmd = nil
	g.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(s)
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Wait()
	started.Delete(c)
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + g.readiness.String() + tlstand.ReadinessPath)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// fleet is a store and gateways.
type fleet struct {
	folder   string
	store    *tlstand.Store
	gateways []*gateway
}

func newFleet(n int, config tlform.Configuration) (*fleet, error) {
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, store: tlstand.NewStore()}
	f.store.PutJSON(platform.TopicConfig, platform.KeyConfig, config)
	zones := []string{"izmir", "bodrum", "ayvalik"}
	for i := range n {
		g, err := newGateway(folder, fmt.Sprintf("edge-%d", i), zones[i%len(zones)], f.store.Address())
		if err != nil {
			return f, err
		}
		f.gateways = append(f.gateways, g)
	}
	return f, nil
}

// start starts all gateways within 0.3 s, the last one first, and waits until they are ready.
func (f *fleet) start() error {
	for n := len(f.gateways) - 1; n >= 0; n-- {
		if err := f.gateways[n].start(); err != nil {
			return err
		}
		time.Sleep(40 * time.Millisecond)
	}
	until := time.Now().Add(15 * time.Second)
	for _, g := range f.gateways {
		for !g.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready: %s", g.name, g.log.String())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		g.end(syscall.SIGKILL)
	}
	f.store.Close()
	_ = os.RemoveAll(f.folder)
}

func mustAddress(text string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(text)
	return a
}
