package trefoillanding

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlstandin"
)

// callCounter counts the calls and bytes that one kind of stand-in got over the network.
type callCounter struct {
	bytes atomic.Int64
	mu    sync.Mutex
	calls map[string]int64
	body  map[string]int64
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	t *callCounter
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	t *callCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.t}, err
}

// serve listens for a handler and counts its calls and bytes.
func (t *callCounter) serve(b *testing.B, h http.Handler) netip.AddrPort {
	b.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w}
		h.ServeHTTP(counted, r)
		t.mu.Lock()
		defer t.mu.Unlock()
		name := r.Method + " " + pathLabel(r.URL.Path)
		t.calls[name]++
		t.body[name] += counted.n
	}))
	s.Listener = countingListener{s.Listener, t}
	s.Start()
	b.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// pathLabel returns a path without the number of a claim stream.
func pathLabel(path string) string {
	if strings.HasPrefix(path, "/log/claims-") {
		return "/log/claims"
	}
	return path
}

type countingWriter struct {
	http.ResponseWriter
	n int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.n += int64(len(b))
	return w.ResponseWriter.Write(b)
}

func newCallCounter() *callCounter {
	return &callCounter{calls: map[string]int64{}, body: map[string]int64{}}
}

// print logs the calls for each instance and second, and the mean size of an answer.
func (t *callCounter) print(b *testing.B, units float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, n := range t.calls {
		b.Logf("%s: %.3f calls/instance/s, %d bytes of answer", name, float64(n)/units, t.body[name]/n)
	}
}

func (t *callCounter) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.calls)
	clear(t.body)
	t.bytes.Store(0)
}

// fleet is a set of complete instances with one pool of engines each.
type fleet struct {
	instances         []*Instance
	config            tlwire.Config
	platform, engines *callCounter
	heapBefore        uint64
}

// The engines of a pool: the minimum that a configuration may declare, and the number
// for each home at the target size.
const (
	minPoolEngines    = 2
	targetPoolEngines = 14
)

func newFleet(b *testing.B, size, engines int) *fleet {
	b.Helper()
	f := &fleet{platform: newCallCounter(), engines: newCallCounter()}
	ports := freePorts(b, 2*size)
	p := tlstandin.NewPlatform(tlstandin.NewPlatformLimits())
	var list []tlwire.Instance
	var settings []tlwire.Settings
	at := f.platform.serve(b, p)
	for n := range size {
		s := fleetSettings(n, at, ports[2*n], ports[2*n+1])
		settings = append(settings, s)
		list = append(list, tlwire.Instance{
			Name: s.Name, Kind: tlwire.InstanceKindEntry, DataCentre: s.DataCentre, Address: s.Listen,
			PeerAddress: s.PeerListen, State: tlwire.InstanceStateLive,
		})
	}
	f.config = tlwire.Config{Services: []tlwire.Service{{
		Name: "llm", Kind: tlwire.ServiceKindCompletions, Models: []tlwire.Model{{Name: "m", Version: "v1"}},
	}}}
	for n := range size {
		v := f.newPool(b, n, engines)
		f.config.Pools = append(f.config.Pools, v)
		for _, e := range v.Engines {
			list = append(list, tlwire.Instance{
				Name: e.Name, Kind: tlwire.InstanceKindEndpoint, DataCentre: v.DataCentre,
				Address: e.Address, State: tlwire.InstanceStateLive,
			})
		}
	}
	p.SetInstances(list)
	f.heapBefore = heapInUse()
	l := logrus.New()
	l.SetOutput(io.Discard)
	for _, s := range settings {
		i, err := New(s, l)
		require.NoError(b, err)
		b.Cleanup(i.Close)
		f.instances = append(f.instances, i)
	}
	return f
}

func fleetSettings(n int, platform, listen, peer netip.AddrPort) tlwire.Settings {
	s := tlsettings.Default()
	s.Name, s.DataCentre = fmt.Sprintf("instance-%03d", n), fmt.Sprint("centre-", n%4)
	s.Platform.Address, s.Listen, s.PeerListen = platform, listen, peer
	s.Security.EventKeys = []string{"a key that only tests use"}
	return s
}

func (f *fleet) newPool(b *testing.B, n, engines int) tlwire.Pool {
	p := tlwire.Pool{Name: fmt.Sprint("pool-", n), Service: "llm", DataCentre: fmt.Sprint("centre-", n%4), PieceTokens: 2000}
	for e := range engines {
		c := tlwire.Engine{Name: fmt.Sprintf("engine-%03d-%02d", n, e), Role: tlwire.RoleDecode}
		if e%3 == 0 {
			c.Role = tlwire.RolePrefill
		}
		v := tlstandin.NewEngine(c, f.config.Services[0].Models, tlstandin.NewBehaviour())
		b.Cleanup(v.Close)
		c.Address = f.engines.serve(b, v)
		p.Engines = append(p.Engines, c)
	}
	return p
}

// apply applies the configuration with a queue length that depends on n.
func (f *fleet) apply(b *testing.B, n int) {
	b.Helper()
	f.config.Services[0].Bounds = &tlwire.Bounds{QueueWait: time.Second, QueueLength: 100 + n, MaxTokens: 1000, PromptTokens: 1000}
	data, err := yaml.Marshal(f.config)
	require.NoError(b, err)
	x, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	i := f.instances[n%len(f.instances)]
	c := tlwire.ApplyCall{Files: []tlwire.ApplyFile{{Name: "a.yaml", Data: data}}, Nonce: fmt.Sprint(n)}
	g, err := i.configurer.Apply(x, c)
	require.NoError(b, err)
	require.Empty(b, i.configurer.WaitInForce(x, g))
}

func (f *fleet) peers(counter string) float64 {
	var n int64
	for _, i := range f.instances {
		n += i.metrics.Group("Peers").Value(counter)
	}
	return float64(n)
}

// measure reports the resources that an instance uses during run.
func (f *fleet) measure(b *testing.B, run func()) {
	time.Sleep(6 * time.Second)
	f.platform.reset()
	f.engines.reset()
	received, sent, frames := f.peers("BytesReceived"), f.peers("BytesSent"), f.peers("FramesReceived")
	start, cpu := time.Now(), processorTime()
	run()
	units := time.Since(start).Seconds() * float64(len(f.instances))
	b.ReportMetric((processorTime()-cpu).Seconds()*1e3/units, "cpu-ms/s")
	b.ReportMetric((f.peers("BytesReceived")-received)/units, "peer-in-B/s")
	b.ReportMetric((f.peers("BytesSent")-sent)/units, "peer-out-B/s")
	b.ReportMetric((f.peers("FramesReceived")-frames)/units, "peer-frames/s")
	b.ReportMetric(float64(f.platform.bytes.Load())/units, "platform-B/s")
	b.ReportMetric(float64(f.engines.bytes.Load())/units, "engine-B/s")
	b.ReportMetric(float64(int64(heapInUse()-f.heapBefore))/1024/float64(len(f.instances)), "heap-KB")
	f.platform.print(b, units)
	f.engines.print(b, units)
}

// BenchmarkFleet measures the resources that one of several complete instances uses,
// with few and many engines, idle and with a configuration change every second. The
// stand-ins run in the same process and are included.
func BenchmarkFleet(b *testing.B) {
	const seconds = 8
	for _, engines := range []int{minPoolEngines, targetPoolEngines} {
		for _, size := range []int{3, 7, 20, 50} {
			b.Run(fmt.Sprintf("engines=%d/instances=%d", engines, size), func(b *testing.B) {
				f := newFleet(b, size, engines)
				f.apply(b, 0)
				b.Run("idle", func(b *testing.B) { f.measure(b, func() { time.Sleep(seconds * time.Second) }) })
				b.Run("changes", func(b *testing.B) {
					f.measure(b, func() {
						t := time.NewTicker(time.Second)
						defer t.Stop()
						for n := range seconds {
							f.apply(b, n+1)
							<-t.C
						}
					})
				})
			})
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkInstanceList measures one read of the platform's instance list.
func BenchmarkInstanceList(b *testing.B) {
	for _, size := range []int{100, 760, 10_760} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := newCallCounter()
			p := tlstandin.NewPlatform(tlstandin.NewPlatformLimits())
			var list []tlwire.Instance
			for n := range size {
				list = append(list, tlwire.Instance{
					Name: fmt.Sprintf("instance-%05d", n), Kind: tlwire.InstanceKindEndpoint, DataCentre: "centre-1",
					Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7100", n/250, n%250)), State: tlwire.InstanceStateLive,
				})
			}
			p.SetInstances(list)
			before := heapInUse()
			ports := freePorts(b, 2)
			s := fleetSettings(0, t.serve(b, p), ports[0], ports[1])
			s.Platform.ListEvery = time.Minute
			l := logrus.New()
			l.SetOutput(io.Discard)
			i, err := New(s, l)
			require.NoError(b, err)
			b.Cleanup(i.Close)
			time.Sleep(time.Second)
			t.reset()
			cpu := processorTime()
			for b.Loop() {
				i.readInstanceList(context.Background())
			}
			b.ReportMetric((processorTime()-cpu).Seconds()*1e3/float64(b.N), "cpu-ms/op")
			b.ReportMetric(float64(int64(heapInUse()-before))/1024, "heap-KB")
			b.ReportMetric(float64(t.bytes.Load())/float64(b.N), "B/op-network")
		})
	}
}

// BenchmarkMessageBytes reports the encoded sizes in bytes of the messages of one request.
func BenchmarkMessageBytes(b *testing.B) {
	const blocks = 40
	id := "0197f1c2-5d1e-7b6a-9c3d-0123456789ab"
	submission := tlwire.Submission{
		Pool: "kiosk-llm-izmir", Request: id, Owner: "izmir-1", Incarnation: 1 << 60, Organisation: "organisation-0001",
		Model: "kiosk", PromptTokens: 10_000, MaxTokens: 1000, Arrived: time.Now(), Due: time.Now(),
	}
	long := submission
	for n := range blocks {
		long.Blocks = append(long.Blocks, 1<<63+uint64(n))
	}
	size := func(v any) float64 {
		body, err := tlcodec.Encode(v)
		require.NoError(b, err)
		frame, err := tlcodec.Encode(tlwire.Envelope{Kind: "Submission", Body: body})
		require.NoError(b, err)
		return float64(len(frame))
	}
	for b.Loop() {
		b.ReportMetric(size(submission), "submission-B")
		b.ReportMetric((size(long)-size(submission))/blocks, "block-B")
		held, err := json.Marshal(tlwire.StreamInfo{
			Age: 5 * time.Second, Attempt: id + "-1", HasReader: true, Incarnation: 1 << 60, Owner: "izmir-1",
			Pieces: 6, Request: id, Stage: tlwire.StageDecoding, Stream: id, Tokens: 300,
		})
		require.NoError(b, err)
		b.ReportMetric(float64(len(held)), "listed-stream-B")
		b.ReportMetric(size(tlwire.Step{
			Request: id, Attempt: id + "-1", Kind: tlwire.StepKindStartPrefill, Engine: "izmir-prefill-1", Pieces: 6, Priority: 1,
		}), "step-B")
		b.ReportMetric(size(tlwire.Report{
			Pool: "kiosk-llm-izmir", Request: id, Attempt: id + "-1", Kind: tlwire.ReportKindPrefillDone, Tokens: 10_000, Bytes: 1 << 30,
		}), "report-B")
		b.ReportMetric(size(tlwire.QuotaCall{
			Organisation: "organisation-0001", Rate: 391_372, Burst: 391_372, Slack: 114_000, Most: 3_636_348, Version: 16_000, Cost: 5_500,
		})+size(tlwire.QuotaAnswer{IsGranted: true, Level: 123_456.7}), "quota-B")
		b.ReportMetric(size(tlwire.SlotCall{
			Service: "order-desk", Request: "9c41d07be2a35f68#1", Organisation: "organisation-0001", Weight: 391_372, Rank: 1002,
			DueIn: 300 * time.Millisecond, GiveUpIn: 800 * time.Millisecond, Hold: 50 * time.Millisecond,
		})+size(tlwire.SlotAnswer{Endpoint: "i-7f3a91c2", Waited: 40 * time.Millisecond})+
			size(tlwire.SlotEnd{Service: "order-desk", Request: "9c41d07be2a35f68#1", Result: 1, Took: 60 * time.Millisecond}), "slot-B")
		b.ReportMetric(size(tlwire.StreamOrigins{Origins: []tlwire.StreamOrigin{
			{Attempt: "9c41d07be2a35f68", Service: "kiosk-llm", Version: "v1.1", Left: 14 * time.Second},
		}}), "origin-B")
	}
}
