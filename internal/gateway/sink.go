package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"

	"egretramp/internal/refusal"
	"egretramp/internal/upstream"
)

// sink takes an answer on behalf of the caller.
type sink interface {
	// chunk takes the next chunk of the answer.
	chunk(data []byte) error
	// finish ends a whole answer.
	finish(a *upstream.Assembler) error
	// fail ends the call without a whole answer.
	fail(r *refusal.Refusal)
	// started reports whether any part of an answer has reached the caller.
	started() bool
}

// sinkError says that the caller cannot be reached any more.
type sinkError struct{ cause error }

// Error describes the failure.
func (e *sinkError) Error() string { return "caller cannot be reached: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.cause }

func newSink(w http.ResponseWriter, r *chatRequest) sink {
	if r.stream {
		return &streamSink{w: w, control: http.NewResponseController(w), usage: r.includeUsage}
	}
	return &wholeSink{w: w}
}

// streamSink passes chunks on as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	usage   bool // the caller asked for the usage chunk
	begun   bool
}

func (s *streamSink) started() bool { return s.begun }

func (s *streamSink) chunk(data []byte) error {
	if !s.usage && isUsageOnly(data) {
		return nil
	}
	return s.event(data)
}

// isUsageOnly reports whether a chunk has no choices, as the one that carries the usage.
func isUsageOnly(data []byte) bool {
	var c struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && len(c.Usage) > 0
}

func (s *streamSink) event(data []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.w.Write(frame(data)); err != nil {
		return &sinkError{cause: err}
	}
	if err := s.control.Flush(); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}

// frame returns one event. A payload with line breaks takes several data lines.
func frame(data []byte) []byte {
	out := append([]byte("data: "), bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))...)
	return append(out, '\n', '\n')
}

func (s *streamSink) finish(*upstream.Assembler) error { return s.event([]byte("[DONE]")) }

// fail before the first event is a refusal; later it is an error event, and the stream ends
// without [DONE], so that nobody takes the part for the whole.
func (s *streamSink) fail(r *refusal.Refusal) {
	if !s.begun {
		r.Write(s.w)
		return
	}
	_ = s.event(r.JSON())
}

// wholeSink sends the whole answer at its end.
type wholeSink struct {
	w     http.ResponseWriter
	begun bool
}

func (s *wholeSink) started() bool { return s.begun }

func (s *wholeSink) chunk([]byte) error { return nil }

func (s *wholeSink) finish(a *upstream.Assembler) error {
	data, err := a.Completion()
	if err != nil {
		return err
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "application/json")
	if _, err := s.w.Write(data); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}

func (s *wholeSink) fail(r *refusal.Refusal) {
	if !s.begun {
		r.Write(s.w)
	}
}
