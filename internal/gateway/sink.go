package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"

	"egretramp/internal/refusal"
	"egretramp/internal/responsecheck"
	"egretramp/internal/upstream"
)

// sink receives a call's answer and sends it to the caller. A caller's disconnection is remembered
// and does not end the call, because a recorded call continues without its caller.
type sink interface {
	// chunk receives the next chunk of the answer.
	chunk(data []byte)
	// answer returns the complete answer as it is recorded.
	answer(a *upstream.Assembler) (answer, error)
	// finish sends the rest of the complete answer.
	finish(a answer)
	// fail ends the call without a complete answer.
	fail(r *refusal.Refusal)
	// started reports whether any part of an answer has been sent.
	started() bool
	// gone reports whether the caller has disconnected.
	gone() bool
}

func newSink(w http.ResponseWriter, r *chatRequest) sink {
	if r.stream {
		return &streamSink{w: w, control: http.NewResponseController(w), usage: r.includeUsage}
	}
	return &bufferedSink{w: w}
}

const (
	contentTypeStream = "text/event-stream"
	contentTypeJSON   = "application/json"
)

var doneFrame = frame([]byte("[DONE]"))

// streamSink forwards chunks as server-sent events.
type streamSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	usage        bool // whether the caller requested the usage chunk
	wroteHeader  bool
	disconnected bool
	sent         bytes.Buffer
}

func (s *streamSink) started() bool { return s.wroteHeader }

func (s *streamSink) gone() bool { return s.disconnected }

func (s *streamSink) chunk(data []byte) {
	if !s.usage && isUsageOnly(data) {
		return
	}
	framed := frame(data)
	s.sent.Write(framed)
	s.write(framed)
}

// isUsageOnly reports whether a chunk contains the usage and no choices.
func isUsageOnly(data []byte) bool {
	var c struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && len(c.Usage) > 0
}

func (s *streamSink) write(framed []byte) {
	if s.disconnected {
		return
	}
	if !s.wroteHeader {
		s.wroteHeader = true
		s.w.Header().Set("Content-Type", contentTypeStream)
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.w.Write(framed); err != nil {
		s.disconnected = true
		return
	}
	s.disconnected = s.control.Flush() != nil
}

// frame encodes a payload as one server-sent event, with one data line for each of its lines.
func frame(data []byte) []byte {
	out := append([]byte("data: "), bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))...)
	return append(out, '\n', '\n')
}

func (s *streamSink) answer(*upstream.Assembler) (answer, error) {
	body := append(bytes.Clone(s.sent.Bytes()), doneFrame...)
	return answer{status: http.StatusOK, contentType: contentTypeStream, body: body}, nil
}

func (s *streamSink) finish(answer) { s.write(doneFrame) }

// fail sends a refusal if no event was sent yet. Otherwise it sends an error event, and the stream
// ends without [DONE], so that callers do not mistake a partial answer for a complete one.
func (s *streamSink) fail(r *refusal.Refusal) {
	if !s.wroteHeader {
		r.Write(s.w)
		return
	}
	s.write(frame(r.JSON()))
}

// bufferedSink sends the answer once it is complete.
type bufferedSink struct {
	w            http.ResponseWriter
	wroteHeader  bool
	disconnected bool
}

func (s *bufferedSink) started() bool { return s.wroteHeader }

func (s *bufferedSink) gone() bool { return s.disconnected }

func (s *bufferedSink) chunk([]byte) {}

func (s *bufferedSink) answer(a *upstream.Assembler) (answer, error) {
	body, err := a.Completion()
	return answer{status: http.StatusOK, contentType: contentTypeJSON, body: body}, err
}

func (s *bufferedSink) finish(a answer) {
	s.wroteHeader = true
	s.disconnected = writeAnswer(s.w, a) != nil
}

func (s *bufferedSink) fail(r *refusal.Refusal) {
	if !s.wroteHeader {
		r.Write(s.w)
	}
}

// writeAnswer sends a complete answer. One that an earlier release recorded may have a status that can't be sent.
func writeAnswer(w http.ResponseWriter, a answer) error {
	if !responsecheck.IsFinal(a.status) {
		failed("bad_answer", "the recorded answer has an invalid status", refusal.False).Write(w)
		return nil
	}
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	return err
}
