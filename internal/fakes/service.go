package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"egretramp/internal/upstream/wire"
)

// maxWorkTime limits the work time that a request can set.
const maxWorkTime = 10 * time.Minute

// ServiceReply is a service's response to any call. Run is the sequence number of the run.
type ServiceReply struct {
	Upstream       string `json:"upstream"`
	Run            int    `json:"run"`
	Attempt        string `json:"attempt"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	BodySHA256     string `json:"body_sha256"`
}

// workRequest holds the fields that a service uses from a JSON body.
type workRequest struct {
	WorkMS int `json:"work_ms"`
}

// service runs and counts any call. The query parameter or body field work_ms sets the work time
// in milliseconds.
type service struct {
	opts    Options
	faults  *faults
	runs    *runs
	running atomic.Int64
}

func newService(opts Options, f *faults, r *runs) *service {
	return &service{opts: opts, faults: f, runs: r}
}

func (s *service) run(ctx context.Context) {
	<-ctx.Done()
}

func (s *service) serves() []string {
	return s.opts.Serves
}

func (s *service) load() loadReport {
	return loadReport{running: int(s.running.Load()), slots: s.opts.Service.Slots}
}

func (s *service) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	s.running.Add(1)
	defer s.running.Add(-1)
	reply := ServiceReply{
		Upstream:       s.opts.Name,
		Attempt:        r.Header.Get(wire.HeaderAttempt),
		IdempotencyKey: r.Header.Get(wire.HeaderIdempotency),
		Method:         r.Method,
		Path:           r.URL.Path,
		BodySHA256:     BodyHash(body),
	}
	reply.Run = s.runs.start(Run{
		Upstream:       s.opts.Name,
		Attempt:        reply.Attempt,
		Session:        r.Header.Get(wire.HeaderSession),
		IdempotencyKey: reply.IdempotencyKey,
		Method:         reply.Method,
		Path:           reply.Path,
		BodySHA256:     reply.BodySHA256,
	})
	// Not cancelled when the caller disconnects: a service completes every call that it started.
	time.Sleep(s.workTime(r, body))
	s.runs.end(reply.Run, Finished)
	if !s.faults.delay(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	reply = s.faults.swap(r.Context(), reply).(ServiceReply)
	s.answer(w, r, reply)
}

func (s *service) answer(w http.ResponseWriter, r *http.Request, reply ServiceReply) {
	data, err := json.Marshal(reply)
	if err != nil {
		panic(err)
	}
	w.Header().Set(wire.HeaderAttempt, reply.Attempt)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusOK)
	if r.Method == http.MethodHead {
		return
	}
	if s.faults.get().TruncateAfter > 0 {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (s *service) workTime(r *http.Request, body []byte) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get("work_ms"))
	if err != nil {
		var asked workRequest
		_ = json.Unmarshal(body, &asked)
		ms = asked.WorkMS
	}
	if ms <= 0 {
		return s.opts.Service.WorkTime
	}
	return min(time.Duration(ms)*time.Millisecond, maxWorkTime)
}
