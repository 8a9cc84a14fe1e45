package tlsend

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/io/tlstandin"
)

// Guards against a report or an order, whose answers name no request, that is taken for done by
// a broken answer of its endpoint, and against one that another instance passes on.
func TestBrokenAnswerIsNone(t *testing.T) {
	q := Request{Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: make([]byte, tlstandin.UploadBytes)}
	for _, b := range tlstandin.BrokenAnswers {
		t.Run(b.Name, func(t *testing.T) {
			e, err := tlstandin.NewBroken(b, "{}")
			require.NoError(t, err)
			t.Cleanup(e.Close)
			ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
			defer stop()
			s := newSender(t)
			r, err := s.Send(ctx, tlendpoint.Endpoint{ID: "e", Address: e.Address()}, q, tlcall.Send{})
			requireNone(t, r, err)
			f := NewForwarder(s.codec.DecodeAnswer)
			t.Cleanup(f.Close)
			r, err = f.Send(ctx, "i", e.Address(), "/", q)
			requireNone(t, r, err)
		})
	}
}

// requireNone requires that a send failed, or that its answer's body does.
func requireNone(t *testing.T, r *Reply, err error) {
	t.Helper()
	if err == nil {
		_, err = io.ReadAll(r.Body)
		require.Error(t, err)
		require.NoError(t, r.Body.Close())
		return
	}
	var f *Error
	require.ErrorAs(t, err, &f)
	assert.True(t, f.MayHaveRun)
	assert.Equal(t, tlhealth.Broken, f.Outcome)
}
