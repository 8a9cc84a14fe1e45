package tlentry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlrelay"
)

// respondStreamed answers with server-sent events, from the start or after Last-Event-ID.
func (e *Entry) respondStreamed(ctx context.Context, w http.ResponseWriter, r *http.Request, q tlrelay.Request) error {
	s := newEventStream(w, q, e.deps.Settings.Limits.WriteStall)
	sink := tlrelay.Sink{Emit: s.emit, Flush: s.flush}
	err := e.run(ctx, r.Header.Get(lastEventID), q, sink)
	if err == nil {
		return s.end()
	}
	if !s.isOpen {
		return err
	}
	v := tlverdict.Of(err)
	e.refusals.Count(string(v.Reason))
	s.fail(v)
	return nil
}

func (e *Entry) run(ctx context.Context, last string, q tlrelay.Request, sink tlrelay.Sink) error {
	if last == "" {
		return e.deps.Relay.Do(ctx, q, sink)
	}
	p, err := e.deps.Signer.Parse(last)
	if err != nil {
		return err
	}
	return e.deps.Relay.Resume(ctx, p, q, sink)
}

// eventStream writes tokens as server-sent events.
type eventStream struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	sharedData   []byte
	buffer       []byte
	isOpen       bool
}

func newEventStream(w http.ResponseWriter, q tlrelay.Request, writeTimeout time.Duration) *eventStream {
	return &eventStream{
		w:            w,
		control:      http.NewResponseController(w),
		writeTimeout: writeTimeout,
		sharedData:   sharedEventData(q),
	}
}

// sharedEventData returns the beginning of the data of an event, which is the same for all
// events of a stream.
func sharedEventData(q tlrelay.Request) []byte {
	b := []byte("\ndata: {\"id\":")
	b = appendJSON(b, q.ID)
	b = append(b, `,"object":"`+objectKind+`","created":`...)
	b = strconv.AppendInt(b, q.Arrived.Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendJSON(b, q.Model)
	return append(b, `,"choices":[{"index":0,"text":`...)
}

func (s *eventStream) open() {
	if s.isOpen {
		return
	}
	s.isOpen = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventStream) emit(v tlrelay.Event) error {
	b := append(s.buffer, "id: "...)
	b = tleventid.Append(b, v.Prefix, v.Index, v.Finish)
	b = append(b, s.sharedData...)
	b = appendJSON(b, v.Text)
	if v.Finish != "" {
		b = append(b, `,"finish_reason":`...)
		b = appendJSON(b, v.Finish)
	}
	s.buffer = append(b, "}]}\n\n"...)
	return nil
}

func (s *eventStream) flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	s.open()
	if s.writeTimeout > 0 {
		_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	}
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *eventStream) end() error {
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	_ = s.flush()
	return nil
}

// fail sends an error event to a caller whose answer has begun.
func (s *eventStream) fail(v *tlverdict.Error) {
	body, err := json.Marshal(v.Body())
	if err != nil {
		return
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, body...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.flush()
}

func appendJSON(b []byte, text string) []byte {
	if needsNoEscape(text) {
		b = append(b, '"')
		b = append(b, text...)
		return append(b, '"')
	}
	q, err := json.Marshal(text)
	if err != nil {
		return append(b, `""`...)
	}
	return append(b, q...)
}

// needsNoEscape reports whether a text can stand in a JSON string without escapes.
func needsNoEscape(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c >= 0x7f || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}
