package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// ReceivedReply is the response to GET /_fake/received?contains=S.
type ReceivedReply struct {
	// Contains is true if S was received.
	Contains bool `json:"contains"`
	// Complete is true if the search covered all bytes ever received.
	Complete bool `json:"complete"`
}

// Violations is a weight store's response to GET /_fake/violations.
type Violations struct {
	Requests int `json:"requests"`
	// Refused counts requests rejected by the rate limit.
	Refused int `json:"refused"`
	// Early counts requests sent before the Retry-After of a rejection had elapsed.
	Early int `json:"early"`
	// MostUnderWay is the highest number of concurrent fetches.
	MostUnderWay int `json:"most_under_way"`
}

// serveControl handles requests for paths under /_fake/.
func (f *Fake) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + strings.TrimPrefix(r.URL.Path, controlPrefix) {
	case "GET runs":
		writeJSON(w, http.StatusOK, f.Runs())
	case "GET received":
		s := []byte(r.URL.Query().Get("contains"))
		writeJSON(w, http.StatusOK, ReceivedReply{f.received.contains(s), f.received.complete(s)})
	case "POST watch":
		f.controlWatch(w, r)
	case "GET faults":
		writeJSON(w, http.StatusOK, f.faults.get())
	case "POST faults":
		f.controlFaults(w, r)
	case "GET orders":
		f.controlEngine(w, func(e *engine) any { return e.orders.all() })
	case "GET sessions":
		f.controlEngine(w, func(e *engine) any { return e.sessions() })
	case "GET violations":
		f.controlViolations(w)
	default:
		writeError(w, http.StatusNotFound, "not_found", "no such control")
	}
}

func (f *Fake) controlWatch(w http.ResponseWriter, r *http.Request) {
	var list []string
	if !readJSON(w, r, &list) {
		return
	}
	for _, s := range list {
		f.received.watch(s)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (f *Fake) controlFaults(w http.ResponseWriter, r *http.Request) {
	var now Faults
	if !readJSON(w, r, &now) {
		return
	}
	f.SetFaults(now)
	writeJSON(w, http.StatusOK, f.faults.get())
}

func (f *Fake) controlEngine(w http.ResponseWriter, read func(*engine) any) {
	e, ok := f.worker.(*engine)
	if !ok {
		writeError(w, http.StatusNotFound, "not_found", "not an engine")
		return
	}
	writeJSON(w, http.StatusOK, read(e))
}

func (f *Fake) controlViolations(w http.ResponseWriter) {
	s, ok := f.worker.(*weightStore)
	if !ok {
		writeError(w, http.StatusNotFound, "not_found", "not a weight store")
		return
	}
	writeJSON(w, http.StatusOK, s.violations())
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

type errorBody struct {
	Error errorPayload `json:"error"`
}

type errorPayload struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorPayload{Message: message, Type: "upstream_error", Code: code}})
}
