package trefoillanding

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlstandin"
)

// timestampEngine is an engine whose tokens are the times at which they were written, in
// Unix nanoseconds.
type timestampEngine struct {
	every  time.Duration
	tokens int
	role   tlwire.Role
}

// ServeHTTP answers the calls of a request that meets no fault.
func (e timestampEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q tlwire.DecodeRequest
	_ = json.NewDecoder(r.Body).Decode(&q)
	switch r.URL.Path {
	case "/engine/prefills":
		_ = json.NewEncoder(w).Encode(tlwire.PrefillResult{Attempt: q.Attempt, Handle: "h", Tokens: 1, HeldFor: time.Second})
	case "/engine/imports":
		_ = json.NewEncoder(w).Encode(tlwire.ImportProgress{Attempt: q.Attempt, Bytes: 1, Total: 1, Done: true})
	case "/engine/streams":
		e.decode(w, q)
	case "/engine/load":
		_ = json.NewEncoder(w).Encode(tlwire.LoadReport{Role: e.role, PiecesTotal: 1 << 20, PiecesFree: 1 << 20})
	default:
		_ = json.NewEncoder(w).Encode(tlwire.CancelResult{})
	}
}

func (e timestampEngine) decode(w http.ResponseWriter, q tlwire.DecodeRequest) {
	c := http.NewResponseController(w)
	next := time.Now()
	for n := range e.tokens {
		finish := ""
		if n == e.tokens-1 {
			finish = "length"
		}
		fmt.Fprintf(w, `{"Attempt":%q,"Index":%d,"Text":"%d","Finish":%q}`+"\n", q.Attempt, n, time.Now().UnixNano(), finish)
		if e.every > 0 && c.Flush() != nil {
			return
		}
		next = next.Add(e.every)
		time.Sleep(time.Until(next))
	}
}

// benchInstance starts an instance that routes to timestamp engines.
func benchInstance(b *testing.B, e timestampEngine) *Instance {
	b.Helper()
	e.role = tlwire.RolePrefill
	prefill := httptest.NewServer(e)
	e.role = tlwire.RoleDecode
	decode := httptest.NewServer(e)
	b.Cleanup(prefill.Close)
	b.Cleanup(decode.Close)
	platform, err := tlstandin.Listen(netip.MustParseAddrPort("127.0.0.1:0"), tlstandin.NewPlatform(tlstandin.NewPlatformLimits()))
	require.NoError(b, err)
	b.Cleanup(platform.Close)
	ports := freePorts(b, 2)
	s := testSettings("izmir", platform.Address(), ports[0], ports[1])
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	i, err := New(s, l)
	require.NoError(b, err)
	b.Cleanup(i.Close)
	address := func(s *httptest.Server) netip.AddrPort {
		return s.Listener.Addr().(*net.TCPAddr).AddrPort()
	}
	i.activateConfig(1, tlconfig.New(tlwire.Config{
		Services: []tlwire.Service{{
			Name:   "llm",
			Kind:   tlwire.ServiceKindCompletions,
			Models: []tlwire.Model{{Name: "m"}},
			Bounds: &tlwire.Bounds{QueueWait: time.Hour, QueueLength: 10_000, MaxTokens: 1_000_000, PromptTokens: 1000},
		}},
		Pools: []tlwire.Pool{benchPool(address(prefill), address(decode))},
	}))
	return i
}

// benchPool returns a pool with enough engines that no stream is queued.
func benchPool(prefill, decode netip.AddrPort) tlwire.Pool {
	p := tlwire.Pool{Name: "p", Service: "llm", DataCentre: "izmir"}
	for n := range 60 {
		p.Engines = append(p.Engines,
			tlwire.Engine{Name: fmt.Sprintf("prefill-%d", n), Address: prefill, Role: tlwire.RolePrefill},
			tlwire.Engine{Name: fmt.Sprintf("decode-%d", n), Address: decode, Role: tlwire.RoleDecode},
		)
	}
	return p
}

// readStream reads one streamed answer over a TCP connection, records the delay of each
// token and returns the number of tokens.
func readStream(b *testing.B, a netip.AddrPort, tokens int, record func(time.Duration)) int {
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		b.Error(err)
		return 0
	}
	defer c.Close()
	body := fmt.Sprintf(`{"model":"llm","prompt":"p","stream":true,"max_tokens":%d}`, tokens)
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	in := bufio.NewReader(c)
	for n := 0; ; {
		line, err := in.ReadString('\n')
		if strings.Contains(line, "Verdict\":") {
			b.Error(line)
		}
		if err != nil || strings.HasPrefix(line, "data: [DONE]") {
			return n
		}
		_, text, ok := strings.Cut(line, `"text":"`)
		if !ok {
			continue
		}
		sent, _ := strconv.ParseInt(text[:strings.IndexByte(text, '"')], 10, 64)
		record(time.Duration(time.Now().UnixNano() - sent))
		n++
	}
}

// benchmarkRelay runs b.N rounds of concurrent streams and reports the token rate and the
// delays. Streams start one after another, each stagger after the previous one; delays
// are recorded once all have started and settle has passed.
func benchmarkRelay(b *testing.B, streams int, stagger, settle time.Duration, e timestampEngine) {
	i := benchInstance(b, e)
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var total atomic.Int64
	start := time.Now()
	b.ResetTimer()
	for range b.N {
		var running sync.WaitGroup
		begin := time.Now()
		for k := range streams {
			running.Go(func() {
				time.Sleep(time.Duration(k) * stagger)
				own := hdrhistogram.New(1, int64(time.Minute), 3)
				n := readStream(b, i.settings.Listen, e.tokens, func(d time.Duration) {
					if time.Since(begin) > time.Duration(streams)*stagger+settle {
						_ = own.RecordValue(max(1, int64(d)))
					}
				})
				total.Add(int64(n))
				mu.Lock()
				defer mu.Unlock()
				h.Merge(own)
			})
		}
		running.Wait()
	}
	b.StopTimer()
	require.EqualValues(b, b.N*streams*e.tokens, total.Load(), "tokens were lost")
	b.ReportMetric(float64(total.Load())/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
}

// BenchmarkRelayAsFastAsItGoes relays tokens that engines write without pauses.
func BenchmarkRelayAsFastAsItGoes(b *testing.B) {
	benchmarkRelay(b, 50, 0, 0, timestampEngine{tokens: 5_000})
}

// BenchmarkRelayAtANodesShare relays 17,000 tokens/s, the share of one node at the target size.
func BenchmarkRelayAtANodesShare(b *testing.B) {
	benchmarkRelay(b, 510, 3*time.Millisecond, 500*time.Millisecond, timestampEngine{every: 30 * time.Millisecond, tokens: 250})
}
