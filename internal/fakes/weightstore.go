package fakes

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// weightsPath is the path prefix under which a weight store serves models.
const weightsPath = "/weights/"

// weightStore serves GET /weights/{model} with a rate limit and counts violations of it.
type weightStore struct {
	opts Options
	runs *runs

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	// notBefore is the earliest time for the next request according to the last rejection.
	notBefore time.Time
	counts    Violations
	underWay  int
}

func newWeightStore(opts Options, r *runs) *weightStore {
	return &weightStore{opts: opts, runs: r, tokens: opts.WeightStore.Burst, refilled: time.Now()}
}

func (s *weightStore) run(ctx context.Context) {
	<-ctx.Done()
}

func (s *weightStore) serves() []string {
	return s.opts.Serves
}

func (s *weightStore) load() loadReport {
	return loadReport{slots: 1}
}

func (s *weightStore) violations() Violations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *weightStore) serve(w http.ResponseWriter, r *http.Request, _ []byte) {
	model, found := strings.CutPrefix(r.URL.Path, weightsPath)
	if !found || model == "" || r.Method != http.MethodGet {
		writeError(w, http.StatusNotFound, "not_found", "only GET /weights/{model}")
		return
	}
	if wait := s.take(time.Now()); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		writeError(w, http.StatusTooManyRequests, "rate_limited", "above the rate limit")
		return
	}
	defer s.endFetch()
	n := s.runs.start(Run{Upstream: s.opts.Name, Method: r.Method, Path: r.URL.Path, BodySHA256: BodyHash(nil)})
	w.Header().Set("Content-Type", "application/octet-stream")
	sleep(r.Context(), s.opts.WeightStore.FetchTime)
	_, _ = w.Write(bytes.Repeat([]byte{'w'}, s.opts.WeightStore.Bytes))
	s.runs.end(n, Finished)
}

// take consumes a token and returns 0, or returns the time until one is available.
func (s *weightStore) take(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.opts.WeightStore.RatePerSecond
	s.tokens = min(s.opts.WeightStore.Burst, s.tokens+now.Sub(s.refilled).Seconds()*rate)
	s.refilled = now
	s.counts.Requests++
	if now.Before(s.notBefore) {
		s.counts.Early++
	}
	if s.tokens >= 1 {
		s.tokens--
		s.underWay++
		s.counts.MostUnderWay = max(s.counts.MostUnderWay, s.underWay)
		return 0
	}
	s.counts.Refused++
	wait := time.Duration((1 - s.tokens) / rate * float64(time.Second))
	s.notBefore = now.Add(wait)
	return wait
}

// endFetch records the end of a fetch.
func (s *weightStore) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay--
}
