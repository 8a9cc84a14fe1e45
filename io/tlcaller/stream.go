package tlcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"trefoillanding/core/tlwire"
)

const maxEventBytes = 1 << 20

var (
	errStreamBroken = errors.New("the stream ended before its answer did")
	errTokenOrder   = errors.New("a token was lost or doubled")
)

// Stream sends a completion request, reads its answer to the end and resumes it
// at another instance when a stream breaks. onToken, which may be nil, is called
// with the index and text of every token.
func (c *Caller) Stream(ctx context.Context, q tlwire.CompletionRequest, onToken func(index int, text string)) (Result, error) {
	q.Stream = true
	body, err := json.Marshal(q)
	if err != nil {
		return Result{}, err
	}
	s := &answerReader{start: time.Now(), onToken: onToken}
	for try := range c.tries {
		err = c.tryStream(ctx, q.Model, try, body, s)
		if err == nil || errors.Is(err, errTokenOrder) || ctx.Err() != nil {
			break
		}
		if s.isDone {
			err = nil
			break
		}
		if !c.waitBeforeRetry(ctx, q.Model, err) {
			break
		}
		s.countRetry()
	}
	s.result.Text = s.text.String()
	return s.result, err
}

func (c *Caller) tryStream(ctx context.Context, service string, try int, body []byte, s *answerReader) error {
	list, err := c.Entries(ctx, service)
	if err != nil {
		return err
	}
	return c.post(ctx, list[try%len(list)], body, s)
}

// waitBeforeRetry waits as long as a refusal advises, but at least minRetryDelay,
// and reports whether to retry. A refusal with status 400 or 404 is not retried.
func (c *Caller) waitBeforeRetry(ctx context.Context, service string, err error) bool {
	c.Forget(service)
	wait := minRetryDelay
	var v *Refusal
	if errors.As(err, &v) {
		if v.Status == http.StatusBadRequest || v.Status == http.StatusNotFound {
			return false
		}
		wait = max(wait, v.RetryAfter())
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (c *Caller) post(ctx context.Context, a netip.AddrPort, body []byte, s *answerReader) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/completions", a), bytes.NewReader(body))
	if err != nil {
		return err
	}
	if s.lastEventID != "" {
		r.Header.Set("Last-Event-ID", s.lastEventID)
	}
	res, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	return s.read(res.Body)
}

// answerReader collects one answer from all the streams that carry it.
type answerReader struct {
	start       time.Time
	onToken     func(index int, text string)
	text        strings.Builder
	lastToken   time.Time
	lastEventID string
	isDone      bool
	result      Result
}

func (s *answerReader) countRetry() {
	if s.lastEventID == "" {
		s.result.Restarts++
		return
	}
	s.result.Resumes++
}

func (s *answerReader) read(body io.Reader) error {
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var id, event string
	for in.Scan() {
		name, value, _ := strings.Cut(in.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			if done, err := s.handleEvent(id, event, value); done || err != nil {
				return err
			}
			id, event = "", ""
		}
	}
	return errors.Join(errStreamBroken, in.Err())
}

func (s *answerReader) handleEvent(id, event, data string) (bool, error) {
	if data == "[DONE]" {
		s.isDone = true
		return true, nil
	}
	if event == "error" {
		v := &Refusal{Status: http.StatusOK}
		return false, errors.Join(errStreamBroken, json.Unmarshal([]byte(data), &v.Body), v)
	}
	var e tlwire.Completion
	if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) != 1 {
		return false, fmt.Errorf("an event can't be read: %.200s", data)
	}
	return false, s.addToken(id, e.Choices[0])
}

func (s *answerReader) addToken(id string, v tlwire.CompletionChoice) error {
	index, err := tokenIndex(id)
	if err != nil || index != s.result.Tokens {
		return fmt.Errorf("%w: event %q came for token %d", errTokenOrder, id, s.result.Tokens)
	}
	now := time.Now()
	if index == 0 {
		s.result.FirstToken = now.Sub(s.start)
	} else {
		s.result.LongestGap = max(s.result.LongestGap, now.Sub(s.lastToken))
	}
	s.lastToken, s.lastEventID = now, id
	s.text.WriteString(v.Text)
	s.result.Tokens++
	s.result.Finish = v.FinishReason
	if s.onToken != nil {
		s.onToken(index, v.Text)
	}
	return nil
}

func tokenIndex(id string) (int, error) {
	parts := strings.Split(id, ".")
	if len(parts) < 2 {
		return 0, errors.New("an event has no id")
	}
	return strconv.Atoi(parts[1])
}
