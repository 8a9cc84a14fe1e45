package tlcaller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"trefoillanding/core/tlwire"
)

// Refusal is the error for a response that refuses a request.
type Refusal struct {
	// Status is the HTTP status; a refusal within a stream has 200.
	Status int
	// Body is the refusal's body.
	Body tlwire.Refusal
}

// Error returns the refusal's reason and message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", r.Status, r.Body.Reason, r.Body.Verdict, r.Body.Message)
}

// RetryAfter returns how long to wait before a retry.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.Body.RetryAfter * float64(time.Second))
}

func readRefusal(res *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return err
	}
	r := &Refusal{Status: res.StatusCode}
	if err := json.Unmarshal(b, &r.Body); err != nil || r.Body.Verdict == "" {
		return fmt.Errorf("status %d without a verdict: %.200s", res.StatusCode, b)
	}
	if h := res.Header.Get("Trefoil-Verdict"); h != string(r.Body.Verdict) {
		return fmt.Errorf("verdict %q in the header, %q in the body", h, r.Body.Verdict)
	}
	return r
}
