// Package refusal defines the error response for a request that was not answered: a single JSON
// format, compatible with the error objects that chat completion clients already parse.
package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// NotRun tells the caller whether the refused request was executed; True means that it was not.
type NotRun string

// The values of NotRun. True requires that no byte of the request was written to an upstream and none
// will be; Unknown means that it may have been executed.
const (
	True    NotRun = "true"
	False   NotRun = "false"
	Unknown NotRun = "unknown"
)

// MarshalJSON encodes n as true, false or "unknown".
func (n NotRun) MarshalJSON() ([]byte, error) {
	if n == Unknown {
		return []byte(`"unknown"`), nil
	}
	return []byte(n), nil
}

// UnmarshalJSON decodes true, false or "unknown".
func (n *NotRun) UnmarshalJSON(data []byte) error {
	s, err := strconv.Unquote(string(data))
	if err != nil {
		s = string(data)
	}
	*n = NotRun(s)
	return nil
}

// Refusal is the final error response to a request that could not be served.
type Refusal struct {
	Status     int           `json:"-"` // HTTP status
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	NotRun     NotRun        `json:"not_run"`
	RetryAfter time.Duration `json:"-"` // 0: retrying does not help
}

// Error returns the code and the message. It implements error.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}

type body struct {
	Error payload `json:"error"`
}

type payload struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	NotRun       NotRun `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// JSON returns the response body that is sent to the caller.
func (r *Refusal) JSON() []byte {
	data, err := json.Marshal(body{Error: payload{
		Message:      r.Message,
		Type:         "egretramp_error",
		Code:         r.Code,
		NotRun:       r.NotRun,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		panic("refusal: cannot encode: " + err.Error())
	}
	return data
}

// Write sends the refusal as an HTTP response. The Retry-After header is in whole seconds, rounded up.
func (r *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64(math.Ceil(r.RetryAfter.Seconds())), 10))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.JSON())
}
