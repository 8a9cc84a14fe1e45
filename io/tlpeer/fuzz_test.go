package tlpeer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

func FuzzFrame(f *testing.F) {
	for _, body := range []any{
		tlwire.Gossip{Name: "b", Sightings: []tlwire.Sighting{{Name: "a", DoubtedFor: 1}}, Loads: []tlwire.InstanceLoad{{Name: "c", Age: -1}}},
		tlwire.SightingCall{Name: "b"},
		[]int{1},
	} {
		data, err := tlcodec.Encode(body)
		require.NoError(f, err)
		for _, kind := range []string{kindGossip, kindAsk, "Unknown"} {
			frame, err := tlcodec.Encode(tlwire.Envelope{Kind: kind, Body: data})
			require.NoError(f, err)
			f.Add(frame)
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, frame []byte) {
		m := &Mesh{handlers: map[string]handler{}, o: Options{
			Name: "a", Now: time.Now, Log: logrus.NewEntry(log),
			Add: func(reason string, _ int64) { require.NotEqual(t, countPanic, reason) },
		}}
		NewGossip(m, GossipOptions{Timeouts: tlmember.Timeouts{SuspectAfter: 1, GoneAfter: 2}})
		e, err := tlcodec.Decode[tlwire.Envelope](frame)
		if err != nil {
			return
		}
		m.handle(context.Background(), Peer{Name: "b"}, e)
	})
}
