package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// Outcome is the state of a run.
type Outcome string

// Outcomes of a run.
const (
	Running   Outcome = "running"
	Finished  Outcome = "finished"
	Cancelled Outcome = "cancelled"
)

// Run is a stand-in's record of one call that it accepted and ran. Times are in Unix nanoseconds.
type Run struct {
	Sequence         int     `json:"sequence"`
	Incarnation      int64   `json:"incarnation"` // creation time of the stand-in, Unix nanoseconds
	Upstream         string  `json:"upstream"`
	Attempt          string  `json:"attempt"`
	Session          string  `json:"session,omitempty"`
	IdempotencyKey   string  `json:"idempotency_key,omitempty"`
	Method           string  `json:"method"`
	Path             string  `json:"path"`
	BodySHA256       string  `json:"body_sha256"`
	Conversation     string  `json:"conversation,omitempty"` // Digest of an engine call's conversation
	PromptTokens     int     `json:"prompt_tokens,omitempty"`
	CachedTokens     int     `json:"cached_tokens,omitempty"`
	CompletionTokens int     `json:"completion_tokens,omitempty"`
	StartedNS        int64   `json:"started_ns"`
	EndedNS          int64   `json:"ended_ns,omitempty"`
	Outcome          Outcome `json:"outcome"`
}

// BodyHash returns the SHA-256 of body in lower-case hex, as stored in Run.BodySHA256.
func BodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// runs records all runs of a stand-in.
type runs struct {
	mu          sync.Mutex
	incarnation int64
	list        []Run
	file        *recordFile
}

// start records a new run and returns its sequence number, starting at 1.
func (r *runs) start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Sequence = len(r.list) + 1
	run.Incarnation = r.incarnation
	run.StartedNS = time.Now().UnixNano()
	run.Outcome = Running
	r.list = append(r.list, run)
	r.file.write(record{Run: &run})
	return run.Sequence
}

// update applies change to the record of a run.
func (r *runs) update(sequence int, change func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &r.list[sequence-1]
	change(run)
	r.file.write(record{Run: run})
}

// end records the outcome and end time of a run.
func (r *runs) end(sequence int, outcome Outcome) {
	r.update(sequence, func(run *Run) {
		run.Outcome = outcome
		run.EndedNS = time.Now().UnixNano()
	})
}

func (r *runs) all() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.list...)
}
