package main

import (
	"bufio"
	"encoding/json"
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
	"time"
)

// program is the project's program as the deploy file builds it.
const program = "target/trefoillanding-gateway"

// record is what was sent, answered and run, in the order in which it was heard of.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *bufio.Writer
	file  *os.File
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{began: time.Now(), out: bufio.NewWriter(f), file: f}, err
}

func (k *record) note(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fmt.Fprintf(k.out, "%7.3f %s\n", time.Since(k.began).Seconds(), fmt.Sprintf(format, args...))
}

func (k *record) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.out.Flush()
	_ = k.file.Close()
}

// gateway is a process of the project.
type gateway struct {
	name                        string
	listen, readiness, lookup   string
	process                     *exec.Cmd
	ended                       chan struct{}
	peer, metrics, settingsFile string
}

// node is a replica's process.
type node struct {
	spec
	process *exec.Cmd
	in      io.WriteCloser
	ended   chan struct{}
}

// fleet is a small deployment: a store, gateways and replicas.
type fleet struct {
	record   *record
	folder   string
	store    *store
	gateways []*gateway
	// onLine, if set, is called with each line that a replica writes.
	onLine func(n *node, line string)
	// onEnd, if set, is called when a replica's process has ended.
	onEnd func(n *node)

	mu       sync.Mutex
	replicas []*node
	isOver   bool
}

// freeAddress returns a loopback address that was free a moment ago, of an IP that nobody
// else uses: outgoing connections take ports of 127.0.0.1 at any time.
func freeAddress() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250)))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newFleet(k *record, gateways int) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: k, folder: folder}
	if f.store, err = startStore(); err != nil {
		return nil, err
	}
	f.store.put("keyed.op", "config", []byte(configuration))
	for n := range gateways {
		if err := f.startGateway(fmt.Sprintf("edge-%d", n+1)); err != nil {
			return f, err
		}
	}
	return f, nil
}

// configuration has a route whose streams may be resumed.
const configuration = `{"version":7,"routes":[
 {"name":"r-1","host":"a.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":14000,"objective_ms":900,"priority":1,
  "service":"llm","max_attempts":2,"session_affinity":true,"resumable":true,"gap_objective_ms":300},
 {"name":"r-2","host":"a.example","path_prefix":"/pay/","kind":"non_idempotent","timeout_ms":4000,"objective_ms":300,"priority":2,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1","tls":false},{"name":"llm","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kv_tokens":58676,"kv_token_bytes":18432,"link_mbps":150000.0,"moves":true,"backups":true,"stride":8,"most":12,
   "kv_ttl_s":0.5,"swap_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}`

// bounds are those of the sheet of Sprue Midlands.
const bounds = `{"seed_lag_s":3,"reuse_delay_s":2,"contact_ms":3000,"ack_ms":4000,"sync_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"apply_ms":2000,"downgrade_ms":250,"skew_max_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":52,"recovery_s":12,"transit_ms":120,"cache_window_s":10,"require_fence":true,"lease_ms":3000,"thaw_ms":300,"ttl_max_s":5}`

// startGateway starts a process with settings as deploy/settings.yaml has them.
func (f *fleet) startGateway(name string) error {
	g := &gateway{
		name: name, listen: freeAddress(), readiness: freeAddress(), lookup: freeAddress(), peer: freeAddress(), metrics: freeAddress(),
		settingsFile: filepath.Join(f.folder, name+".yaml"), ended: make(chan struct{}),
	}
	text := fmt.Sprintf(`Name: "%s"
DataCentre: "z1"
Region: "r"
Listen: "%s"
PeerListen: "%s"
Platform:
  Address: "%s"
Peers:
  Heartbeat: 250ms
  SuspectAfter: 1s
Log:
  Level: info
  Format: json
Gateway:
  Readiness: "%s"
  Lookup: "%s"
  Metrics: "%s"
  Capacity: 0.4
  MemoryBytes: 284000000
  Lease: 3000ms
  Grace: 8s
  RetryShare: 0.2
  RetryBurst: 52
  RetryWindow: 10s
  StoreWrites: 400
  PlatformBounds: '%s'
`, name, g.listen, g.peer, f.store.address, g.readiness, g.lookup, g.metrics, bounds)
	if err := os.WriteFile(g.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	g.process = exec.Command(program, "serve", "--settings", g.settingsFile)
	g.process.Env = append(os.Environ(), "TREFOILLANDING_NODE_FILE="+g.settingsFile)
	log, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return err
	}
	g.process.Stdout, g.process.Stderr = log, log
	if err := g.process.Start(); err != nil {
		return err
	}
	f.gateways = append(f.gateways, g)
	go func() {
		_ = g.process.Wait()
		close(g.ended)
		_ = log.Close()
	}()
	return nil
}

// startReplica starts a replica's process, whose lines go into the record.
func (f *fleet) startReplica(s spec) (*node, error) {
	s.Store = f.store.address
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	n := &node{spec: s, process: exec.Command(os.Args[0], "replica", string(text)), ended: make(chan struct{})}
	n.process.Stderr = os.Stderr
	if n.in, err = n.process.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := n.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOver {
		return nil, fmt.Errorf("the case is over")
	}
	if err := n.process.Start(); err != nil {
		return nil, err
	}
	f.replicas = append(f.replicas, n)
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			_, line, _ := strings.Cut(in.Text(), " ")
			f.record.note("replica %s", line)
			if f.onLine != nil {
				f.onLine(n, line)
			}
		}
		_ = n.process.Wait()
		close(n.ended)
		f.record.note("replica %s has ended", s.ID)
		if f.onEnd != nil {
			f.onEnd(n)
		}
	}()
	return n, nil
}

// awaitReady waits until all gateways are ready; it returns an error after ten seconds.
func (f *fleet) awaitReady() error {
	until := time.Now().Add(10 * time.Second)
	for _, g := range f.gateways {
		for {
			a, err := http.Get("http://" + g.readiness + "/-/readiness")
			if err == nil {
				_ = a.Body.Close()
				if a.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// end ends all processes that were started.
func (f *fleet) end() {
	f.mu.Lock()
	f.isOver = true
	all := f.replicas
	f.mu.Unlock()
	for _, n := range all {
		_ = n.process.Process.Kill()
		<-n.ended
	}
	for _, g := range f.gateways {
		_ = g.process.Process.Kill()
		<-g.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}
