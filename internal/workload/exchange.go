package workload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"egretramp/internal/refusal"
)

// Headers of the callers' protocol.
const (
	headerProgram     = "Egretramp-Program"
	headerTurn        = "Egretramp-Turn"
	headerIdempotency = "Idempotency-Key"
)

// pathChat is the path of chat completions.
const pathChat = "/v1/chat/completions"

// maxAnswer is the maximum size of an answer that a caller reads. Bytes.
const maxAnswer = 64 << 20

// doneEvent is the data of the final event of a complete stream.
const doneEvent = "[DONE]"

// request is one HTTP request of a caller.
type request struct {
	method  string
	path    string
	key     string
	program string
	turn    int
	idemKey string
	body    []byte
	stream  bool
	service bool
}

// answerJSON holds the fields that a caller decodes of a completion, a chunk or a refusal.
type answerJSON struct {
	Choices []struct {
		Message      textJSON `json:"message"`
		Delta        textJSON `json:"delta"`
		FinishReason string   `json:"finish_reason"`
	} `json:"choices"`
	Error *errorJSON `json:"error"`
}

type textJSON struct {
	Content string `json:"content"`
}

type errorJSON struct {
	Code         string         `json:"code"`
	Message      string         `json:"message"`
	NotRun       refusal.NotRun `json:"not_run"`
	RetryAfterMS int64          `json:"retry_after_ms"`
}

// send sends a request to a VM and records the response or the error.
func send(ctx context.Context, client *http.Client, vm string, r request) Attempt {
	a := Attempt{VM: vm, Start: time.Now()}
	err := exchange(ctx, client, r, &a)
	if err != nil {
		a.Err = err.Error()
		a.Whole = false
	}
	a.End = time.Now()
	return a
}

func exchange(ctx context.Context, client *http.Client, r request, a *Attempt) error {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+a.VM+r.path, bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	r.setHeaders(req.Header)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp, a)
	}
	if r.stream {
		return readStream(resp.Body, a)
	}
	return readWhole(resp.Body, r, a)
}

func (r request) setHeaders(h http.Header) {
	h.Set("Content-Type", "application/json")
	if r.key != "" {
		h.Set("Authorization", "Bearer "+r.key)
	}
	if r.program != "" {
		h.Set(headerProgram, r.program)
		h.Set(headerTurn, strconv.Itoa(r.turn))
	}
	if r.idemKey != "" {
		h.Set(headerIdempotency, r.idemKey)
	}
}

func readRefusal(resp *http.Response, a *Attempt) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	var answer answerJSON
	if json.Unmarshal(data, &answer) != nil || answer.Error == nil {
		a.Err = "refusal without the JSON error object"
		return nil
	}
	a.refuse(answer.Error)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && a.Retry == 0 {
		a.Retry = time.Duration(seconds) * time.Second
	}
	return nil
}

func (a *Attempt) refuse(e *errorJSON) {
	a.Code = e.Code
	a.NotRun = e.NotRun
	a.Retry = time.Duration(e.RetryAfterMS) * time.Millisecond
}

func readWhole(body io.Reader, r request, a *Attempt) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return err
	}
	a.Raw = string(data)
	if r.service {
		a.Text, a.Whole = a.Raw, true
		return nil
	}
	var answer answerJSON
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	if len(answer.Choices) > 0 {
		a.Text = answer.Choices[0].Message.Content
		a.Whole = answer.Choices[0].FinishReason != ""
	}
	return nil
}

// readStream reads server-sent events. The answer is complete if it has a finish reason and the
// final event.
func readStream(body io.Reader, a *Attempt) error {
	finished := false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswer)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == doneEvent {
			a.Whole = finished
			return nil
		}
		var chunk answerJSON
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if chunk.Error != nil {
			a.refuse(chunk.Error)
			return nil
		}
		for _, c := range chunk.Choices {
			a.Text += c.Delta.Content
			finished = finished || c.FinishReason != ""
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
