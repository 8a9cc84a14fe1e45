package tlengine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlstandin"
)

// harness runs a client against one prefill engine and one or more decode engines.
type harness struct {
	*tlstandin.Deployment
	client  *tlengine.Client
	decoder string
	mutex   sync.Mutex
	counts  map[string]int64
}

func newHarness(t testing.TB, change func(*tlstandin.Behaviour, *tlengine.Options)) *harness {
	return newHarnessWithDecoders(t, 1, change)
}

// newHarnessWithDecoders starts several decode engines, named d, d1, d2 and so on.
func newHarnessWithDecoders(t testing.TB, decoders int, change func(*tlstandin.Behaviour, *tlengine.Options)) *harness {
	s, o := tlstandin.NewBehaviour(), tlengine.NewOptions()
	s.TokenEvery = 500 * time.Microsecond
	b := &harness{counts: map[string]int64{}}
	o.Count = b.count
	change(&s, &o)
	engines := []tlwire.Engine{
		{Name: "p", Address: tlstandin.AnyPort, Role: tlwire.RolePrefill},
		{Name: "d", Address: tlstandin.AnyPort, Role: tlwire.RoleDecode},
	}
	for i := 1; i < decoders; i++ {
		engines = append(engines, tlwire.Engine{Name: fmt.Sprint("d", i), Address: tlstandin.AnyPort, Role: tlwire.RoleDecode})
	}
	d, err := tlstandin.NewDeployment(tlwire.Config{
		Services: []tlwire.Service{{Name: "kiosk-llm", Models: []tlwire.Model{{Name: "menu", Version: "1"}}}},
		Pools:    []tlwire.Pool{{Name: "izmir", Service: "kiosk-llm", Engines: engines}},
	}, tlstandin.AnyPort, nil, s)
	require.NoError(t, err)
	b.Deployment, b.client, b.decoder = d, tlengine.New(o), "d"
	t.Cleanup(func() {
		x, stop := context.WithTimeout(t.Context(), 0)
		defer stop()
		b.client.Close(x)
		d.Close()
	})
	return b
}

func (b *harness) count(name string, n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counts[name] += n
}

func (b *harness) countOf(name string) int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.counts[name]
}

func (b *harness) prefill(x context.Context, attempt, prompt string) (tlwire.PrefillResult, error) {
	return b.client.Prefill(x, b.Servers()["p"], tlwire.PrefillRequest{
		Attempt: attempt, Request: "r", Owner: "izmir-1", Incarnation: 1, Model: "menu", Prompt: prompt,
	})
}

func (b *harness) importCache(x context.Context, attempt string, p tlwire.PrefillResult) error {
	return b.client.Import(x, b.Servers()[b.decoder], tlwire.ImportRequest{
		Attempt: attempt, Request: "r", Owner: "izmir-1", Incarnation: 1,
		Source: b.Servers()["p"], Handle: p.Handle, Tokens: p.Tokens, Pieces: 1,
	}, nil)
}

func (b *harness) decode(x context.Context, attempt string, first int) (*tlengine.Stream, error) {
	return b.client.Decode(x, b.Servers()[b.decoder], tlwire.DecodeRequest{
		Attempt: attempt, Stream: attempt, Request: "r", Owner: "izmir-1", Incarnation: 1,
		Model: "menu", FirstIndex: first, MaxTokens: 1 << 20,
	})
}

func (b *harness) resume(x context.Context, attempt string, first int) (*tlengine.Stream, error) {
	return b.client.Resume(x, b.Servers()["d"], tlwire.ResumeRequest{
		Stream: attempt, Owner: "izmir-2", Incarnation: 1, FirstIndex: first,
	})
}

// withDecoder returns a harness that uses another decode engine of the same deployment.
func (b *harness) withDecoder(decoder string) *harness {
	return &harness{Deployment: b.Deployment, client: b.client, decoder: decoder}
}

// start prefills, imports and decodes an attempt and returns its stream.
func (b *harness) start(x context.Context, attempt, prompt string) (*tlengine.Stream, error) {
	p, err := b.prefill(x, attempt, prompt)
	if err != nil {
		return nil, err
	}
	err = b.importCache(x, attempt, p)
	if err != nil {
		return nil, err
	}
	return b.decode(x, attempt, 0)
}

func (b *harness) open(t testing.TB, attempt, prompt string) *tlengine.Stream {
	s, err := b.start(t.Context(), attempt, prompt)
	require.NoError(t, err)
	return s
}

func (b *harness) requireMemoryFreed(t testing.TB) {
	require.Eventually(t, func() bool { return b.PiecesHeld() == 0 }, time.Second, time.Millisecond)
}

// readAll returns the text of a stream up to its end or the first error.
func readAll(s *tlengine.Stream) (string, error) {
	var b strings.Builder
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		if e.Error != "" {
			return b.String(), errors.New(e.Error)
		}
		b.WriteString(e.Text)
	}
}

func defaults(*tlstandin.Behaviour, *tlengine.Options) {}
