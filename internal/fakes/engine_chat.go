package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"egretramp/internal/upstream/wire"
)

const (
	pathChat    = "/v1/chat/completions"
	pathStreams = "/v1/streams/"
)

func (e *engine) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	attempt, isStream := strings.CutPrefix(r.URL.Path, pathStreams)
	switch {
	case r.Method == http.MethodPost && r.URL.Path == pathChat:
		e.serveChat(w, r, body)
	case isStream && r.Method == http.MethodGet:
		e.serveResume(w, r, attempt)
	case isStream && r.Method == http.MethodDelete:
		e.serveCancel(w, attempt)
	default:
		e.serveMemory(w, r, body)
	}
}

// serveChat runs a chat completion.
func (e *engine) serveChat(w http.ResponseWriter, r *http.Request, body []byte) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "the body is no chat completion request")
		return
	}
	if !slices.Contains(e.serves(), req.Model) && e.opts.Aliases[req.Model] == "" {
		writeError(w, http.StatusNotFound, "model_not_found", "model "+strconv.Quote(req.Model)+" is not served here")
		return
	}
	c := e.newCall(r, req)
	if c.kvTokens() > e.opts.Engine.KVTokens {
		writeError(w, http.StatusBadRequest, "context_length_exceeded", "the call needs more KV memory than the engine has")
		return
	}
	c.run = e.runs.start(Run{
		Upstream:       e.opts.Name,
		Attempt:        c.attempt,
		Session:        c.session,
		IdempotencyKey: r.Header.Get(wire.HeaderIdempotency),
		Method:         r.Method,
		Path:           r.URL.Path,
		BodySHA256:     BodyHash(body),
		Conversation:   Digest(e.canonical(req.Model), req.Messages),
		PromptTokens:   len(c.prompt),
	})
	if !e.submit(c) {
		e.runs.end(c.run, Cancelled)
		writeError(w, http.StatusConflict, "attempt_in_use", "the attempt is known already")
		return
	}
	defer e.removeReader(c)
	if !e.faults.delay(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	given := e.faults.swap(r.Context(), c).(*call)
	if req.Stream {
		e.stream(w, r, given, 0)
		return
	}
	e.respondWhole(w, r, given)
}

func (e *engine) canonical(model string) string {
	if name := e.opts.Aliases[model]; name != "" {
		return name
	}
	return model
}

func (e *engine) newCall(r *http.Request, req chatRequest) *call {
	c := &call{
		attempt:  r.Header.Get(wire.HeaderAttempt),
		session:  r.Header.Get(wire.HeaderSession),
		model:    req.Model,
		created:  time.Now(),
		prompt:   Tokens(req.Messages),
		answer:   Answer(e.canonical(req.Model), req.Messages, req.limit()),
		finish:   finishStop,
		usage:    req.StreamOptions != nil && req.StreamOptions.IncludeUsage,
		keep:     true,
		advanced: make(chan struct{}),
	}
	if len(c.answer) < len(Answer(e.canonical(req.Model), req.Messages, 0)) {
		c.finish = finishLength
	}
	if c.attempt == "" {
		e.mu.Lock()
		e.serial++
		c.attempt = fmt.Sprintf("%s-%d", e.opts.Name, e.serial)
		e.mu.Unlock()
	}
	return c
}

// next returns the chunks from index n on, the outcome if the call has ended, and a channel that
// is closed at the next change.
func (e *engine) next(c *call, n int) (chunks [][]byte, outcome Outcome, advanced <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n < len(c.chunks) {
		chunks = c.chunks[n:]
	}
	if c.ended {
		outcome = c.outcome
	}
	return chunks, outcome, c.advanced
}

// stream writes the chunks of a call from index n on as server-sent events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, c *call, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(wire.HeaderAttempt, c.attempt)
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	sent := 0
	for {
		chunks, outcome, advanced := e.next(c, n)
		for _, chunk := range chunks {
			if cut := e.faults.get().TruncateAfter; cut > 0 && sent >= cut {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "data: %s\n\n", chunk)
			_ = flush()
			sent++
			n++
		}
		switch outcome {
		case Finished:
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case Cancelled:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-advanced:
		case <-r.Context().Done():
			return
		}
	}
}

// respondWhole waits until a call has ended and writes the non-streamed response.
func (e *engine) respondWhole(w http.ResponseWriter, r *http.Request, c *call) {
	for {
		_, outcome, advanced := e.next(c, 0)
		switch outcome {
		case Finished:
			e.writeWhole(w, c)
			return
		case Cancelled:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-advanced:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *engine) writeWhole(w http.ResponseWriter, c *call) {
	message := &delta{Role: "assistant", Content: strings.Join(c.answer, " ")}
	choices := []choice{{Message: message, FinishReason: &c.finish}}
	data := mustJSON(c.completion("chat.completion", choices, c.usageNow()))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(wire.HeaderAttempt, c.attempt)
	w.WriteHeader(http.StatusOK)
	if e.faults.get().TruncateAfter > 0 {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// serveResume streams an existing call from the requested chunk on.
func (e *engine) serveResume(w http.ResponseWriter, r *http.Request, attempt string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "from must be a chunk number, 0 or more")
		return
	}
	c := e.addReader(attempt)
	if c == nil || e.opts.Engine.NoResume {
		writeError(w, http.StatusNotFound, "unknown_attempt", "no such stream")
		return
	}
	defer e.removeReader(c)
	if e.faults.get().Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, c, from)
}

// addReader registers a reader of a call. It returns nil if the call is unknown or cancelled.
func (e *engine) addReader(attempt string) *call {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.calls[attempt]
	if c == nil || c.outcome == Cancelled {
		return nil
	}
	c.readers++
	return c
}

func (e *engine) serveCancel(w http.ResponseWriter, attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.calls[attempt]
	if c == nil {
		writeError(w, http.StatusNotFound, "unknown_attempt", "no such stream")
		return
	}
	e.end(c, Cancelled, time.Now())
	writeJSON(w, http.StatusOK, struct{}{})
}
