package tlentry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlprompt"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlrelay"
)

// noConfigRetryAfter is the Retry-After of an instance that has no configuration yet.
const noConfigRetryAfter = time.Second

const lastEventID = "Last-Event-ID"

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) error {
	arrived := e.deps.Now()
	body, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	var q tlwire.CompletionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return tlverdict.New(tlverdict.BadBody, "the body is not a completion request: %v", err)
	}
	p, err := e.request(r, q, body, arrived)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(r.Context(), e.deps.Settings.Limits.RequestTimeout)
	defer stop()
	if q.Stream {
		return e.respondStreamed(ctx, w, r, p)
	}
	return e.respondBuffered(ctx, w, p)
}

// request validates a completion and resolves its service, model, adapter and organisation.
func (e *Entry) request(r *http.Request, q tlwire.CompletionRequest, body []byte, arrived time.Time) (tlrelay.Request, error) {
	_, c := e.deps.Config()
	if c == nil {
		return tlrelay.Request{}, noConfigError()
	}
	t, ok := c.TargetFor(q.Model)
	if !ok || t.Service.Kind != tlwire.ServiceKindCompletions {
		return tlrelay.Request{}, tlverdict.New(tlverdict.UnknownModel, "no service or model is named %q", q.Model)
	}
	// Unknown callers are served too, all of them as one organisation without a name.
	o, _ := c.OrganisationFor(bearerToken(r), q.User)
	if err := checkLength(q, t); err != nil {
		return tlrelay.Request{}, err
	}
	limit := t.Service.Bounds.MaxTokens
	if q.MaxTokens > 0 {
		limit = min(limit, q.MaxTokens)
	}
	return tlrelay.Request{
		ID:           e.deps.NewID(),
		Organisation: o.Name,
		Service:      t.Service,
		Model:        t.Model.Name,
		Adapter:      t.Adapter,
		Prompt:       q.Prompt,
		MaxTokens:    limit,
		Arrived:      arrived,
		Due:          arrived.Add(t.Service.Targets.FirstToken),
		RetryTimeout: t.Service.Bounds.QueueWait,
		BodyDigest:   xxhash.Sum64(body),
	}, nil
}

func checkLength(q tlwire.CompletionRequest, t tlconfig.Target) error {
	if q.MaxTokens < 0 {
		return tlverdict.New(tlverdict.BadBody, "max_tokens must not be negative")
	}
	if q.Prompt == "" {
		return tlverdict.New(tlverdict.BadBody, "the prompt is empty")
	}
	n := tlprompt.Tokens(q.Prompt)
	if n > t.Service.Bounds.PromptTokens {
		return tlverdict.New(tlverdict.PromptTooLong, "the prompt has %d tokens, the limit is %d", n, t.Service.Bounds.PromptTokens)
	}
	return nil
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

func noConfigError() error {
	return tlverdict.New(tlverdict.NoConfig, "the instance has no configuration yet").WithRetryAfter(noConfigRetryAfter)
}

func isConfigured(c *tlconfig.Config, name string) bool {
	if _, ok := c.Service(name); ok {
		return true
	}
	_, ok := c.TargetFor(name)
	return ok
}
