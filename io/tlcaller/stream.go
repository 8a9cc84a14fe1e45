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
	errBroken = errors.New("the stream ended before its answer did")
	errOrder  = errors.New("a token was lost or doubled")
)

// Stream sends a completion and reads its answer to the end, going on at another
// instance when a stream breaks; each is told of every token's index and text.
func (c *Caller) Stream(ctx context.Context, q tlwire.CompletionRequest, each func(index int, text string)) (Result, error) {
	q.Stream = true
	body, err := json.Marshal(q)
	if err != nil {
		return Result{}, err
	}
	s := &reading{start: time.Now(), each: each}
	for try := range c.tries {
		err = c.tryStream(ctx, q.Model, try, body, s)
		if err == nil || errors.Is(err, errOrder) || ctx.Err() != nil {
			break
		}
		if s.isDone {
			err = nil
			break
		}
		if !c.pause(ctx, q.Model, err) {
			break
		}
		s.broke()
	}
	s.result.Text = s.text.String()
	return s.result, err
}

func (c *Caller) tryStream(ctx context.Context, service string, try int, body []byte, s *reading) error {
	list, err := c.Entries(ctx, service)
	if err != nil {
		return err
	}
	return c.post(ctx, list[try%len(list)], body, s)
}

// pause waits as a refusal advises, and says whether another try makes sense.
func (c *Caller) pause(ctx context.Context, service string, err error) bool {
	c.Forget(service)
	wait := tryDelay
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

func (c *Caller) post(ctx context.Context, a netip.AddrPort, body []byte, s *reading) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/completions", a), bytes.NewReader(body))
	if err != nil {
		return err
	}
	if s.lastID != "" {
		r.Header.Set("Last-Event-ID", s.lastID)
	}
	res, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refusalOf(res)
	}
	return s.read(res.Body)
}

// reading is the state of one answer over all of its streams.
type reading struct {
	start  time.Time
	each   func(index int, text string)
	text   strings.Builder
	last   time.Time
	lastID string
	isDone bool
	result Result
}

func (s *reading) broke() {
	if s.lastID == "" {
		s.result.Restarts++
		return
	}
	s.result.Resumes++
}

func (s *reading) read(body io.Reader) error {
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
			if done, err := s.take(id, event, value); done || err != nil {
				return err
			}
			id, event = "", ""
		}
	}
	return errors.Join(errBroken, in.Err())
}

func (s *reading) take(id, event, data string) (bool, error) {
	if data == "[DONE]" {
		s.isDone = true
		return true, nil
	}
	if event == "error" {
		v := &Refusal{Status: http.StatusOK}
		return false, errors.Join(errBroken, json.Unmarshal([]byte(data), &v.Body), v)
	}
	var e tlwire.Completion
	if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) != 1 {
		return false, fmt.Errorf("an event can't be read: %.200s", data)
	}
	return false, s.token(id, e.Choices[0])
}

func (s *reading) token(id string, v tlwire.CompletionChoice) error {
	index, err := indexOf(id)
	if err != nil || index != s.result.Tokens {
		return fmt.Errorf("%w: event %q came for token %d", errOrder, id, s.result.Tokens)
	}
	now := time.Now()
	if index == 0 {
		s.result.FirstToken = now.Sub(s.start)
	} else {
		s.result.LongestGap = max(s.result.LongestGap, now.Sub(s.last))
	}
	s.last, s.lastID = now, id
	s.text.WriteString(v.Text)
	s.result.Tokens++
	s.result.Finish = v.FinishReason
	if s.each != nil {
		s.each(index, v.Text)
	}
	return nil
}

func indexOf(id string) (int, error) {
	parts := strings.Split(id, ".")
	if len(parts) < 2 {
		return 0, errors.New("an event has no id")
	}
	return strconv.Atoi(parts[1])
}
