package tlentry

import (
	"context"
	"net/http"
	"strings"

	"trefoillanding/core/tlprompt"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlrelay"
)

const objectKind = "text_completion"

// respondBuffered answers with one JSON object once the last token has arrived.
func (e *Entry) respondBuffered(ctx context.Context, w http.ResponseWriter, q tlrelay.Request) error {
	var text strings.Builder
	finish, n := "", 0
	sink := tlrelay.Sink{
		Emit: func(v tlrelay.Event) error {
			text.WriteString(v.Text)
			n++
			finish = v.Finish
			return ctx.Err()
		},
		Flush: func() error { return nil },
	}
	if err := e.deps.Relay.Do(ctx, q, sink); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, tlwire.Completion{
		ID:      q.ID,
		Object:  objectKind,
		Created: q.Arrived.Unix(),
		Model:   q.Model,
		Choices: []tlwire.CompletionChoice{{Text: text.String(), FinishReason: finish}},
		Usage:   usage(q, n),
	})
	return nil
}

func usage(q tlrelay.Request, n int) *tlwire.CompletionUsage {
	p := tlprompt.Tokens(q.Prompt)
	return &tlwire.CompletionUsage{
		PromptTokens:     p,
		CompletionTokens: n,
		TotalTokens:      p + n,
	}
}
