package tlplain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlstandin"
)

// newBrokenEndpoint starts an endpoint whose answers are broken in a way.
func newBrokenEndpoint(t *testing.T, b tlstandin.BrokenAnswer) tlwire.PlainEndpoint {
	e, err := tlstandin.NewBroken(b, "paid")
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return tlwire.PlainEndpoint{Name: "broken", Address: e.Address(), DataCentre: "izmir"}
}

// Guards against a broken answer that is returned, or kept and replayed, as that of a payment.
func TestBrokenAnswerIsNoOutcome(t *testing.T) {
	for _, b := range tlstandin.BrokenAnswers {
		t.Run(b.Name, func(t *testing.T) {
			c := newTestSite(t).newCaller()
			d := orderDesk(newBrokenEndpoint(t, b))
			d.Bounds.CallTimeout = 2 * time.Second
			for range 2 {
				_, err := c.Do(context.Background(), d, payment("k", string(make([]byte, tlstandin.UploadBytes))))
				var v *tlverdict.Error
				require.ErrorAs(t, err, &v)
				assert.Equal(t, tlwire.VerdictMayHaveRun, v.Verdict)
			}
		})
	}
}

// Guards against a broken answer that is returned though another endpoint could answer.
func TestRepeatableCallWhoseAnswerBrokeIsSentElsewhere(t *testing.T) {
	for _, b := range tlstandin.BrokenAnswers {
		t.Run(b.Name, func(t *testing.T) {
			s := newTestSite(t)
			_, sound := s.newEndpoint("sound")
			d := orderDesk(newBrokenEndpoint(t, b), sound)
			d.Calls = []tlwire.Call{{Method: "POST", Path: "/stock/{item}", Repeatable: true}}
			d.Bounds.CallTimeout, d.Bounds.RetryShare = 5*time.Second, 1
			c := s.newCaller()
			for range 4 {
				a, err := c.Do(context.Background(), d, Call{Method: "POST", Path: "/stock/crab", Body: make([]byte, tlstandin.UploadBytes)})
				require.NoError(t, err)
				assert.NotEqual(t, "paid", string(a.Body))
			}
		})
	}
}
