package tlengine_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlstandin"
)

// Guards against a prompt that is taken for read, or an order for accepted, by a broken answer.
func TestBrokenAnswerOfAnEngineIsLost(t *testing.T) {
	large := strings.Repeat("p", tlstandin.UploadBytes)
	calls := map[string]func(context.Context, *tlengine.Client, *tlstandin.Early) error{
		"prefill": func(x context.Context, c *tlengine.Client, e *tlstandin.Early) error {
			_, err := c.Prefill(x, e.Address(), tlwire.PrefillRequest{Attempt: "a", Prompt: large})
			return err
		},
		"order": func(x context.Context, c *tlengine.Client, e *tlstandin.Early) error {
			return c.Order(x, e.Address(), tlwire.Order{Model: large})
		},
	}
	for name, call := range calls {
		for _, b := range tlstandin.BrokenAnswers {
			t.Run(name+", "+b.Name, func(t *testing.T) {
				e, err := tlstandin.NewBroken(b, `{"Attempt":"a"}`)
				require.NoError(t, err)
				t.Cleanup(e.Close)
				o := tlengine.NewOptions()
				o.CallTimeout = 2 * time.Second
				o.Count = func(string, int64) {}
				c := tlengine.New(o)
				t.Cleanup(func() { c.Close(t.Context()) })
				x, stop := context.WithTimeout(t.Context(), 2*time.Second)
				defer stop()
				var failure *tlengine.Error
				require.ErrorAs(t, call(x, c, e), &failure)
				assert.Equal(t, tlwire.VerdictMayHaveRun, failure.Verdict)
				assert.Equal(t, tlengine.Lost, failure.Cause)
			})
		}
	}
}
