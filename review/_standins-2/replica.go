package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a sound replica of a service. It registers itself, answers requests that name it, and notes what it ran.
type replica struct {
	fleet            *fleet
	id, service      string
	zone, ip         string
	born             int64
	sequence         atomic.Int64
	state            atomic.Value // string
	work             time.Duration
	events           int
	listener         net.Listener
	server           *http.Server
	stop             context.CancelFunc
	onRun            func(r *replica, run run)
	control          atomic.Int64 // control machine that takes the heartbeats
	runs             atomic.Int64
	mu               sync.Mutex
	seen             map[string]int
	lastBeat         time.Time
	pauseBetweenEvts time.Duration
	// reading is held by the request whose prompt is read: the largest prompts of the scripts leave no room for a second.
	reading chan struct{}
}

// run is a request that a replica began to work on.
type run struct {
	request, account, path string
	body                   []byte
	at                     time.Time
}

func (f *fleet) startReplica(id, service, zone string, number int, onRun func(*replica, run)) (*replica, error) {
	r := &replica{
		fleet: f, id: id, service: service, zone: zone, ip: fmt.Sprintf("%s.%d", f.network, 100+number), born: time.Now().UnixMilli(),
		work: 20 * time.Millisecond, events: 3, onRun: onRun, seen: map[string]int{}, reading: make(chan struct{}, 1), pauseBetweenEvts: 5 * time.Millisecond,
	}
	r.state.Store("ready")
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip, portServer))
	if err != nil {
		return nil, err
	}
	r.listener = listener
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go r.beat(ctx)
	return r, nil
}

func (r *replica) beat(ctx context.Context) {
	for i := int(r.control.Load()); ctx.Err() == nil; {
		body, err := json.Marshal(map[string]any{
			"service": r.service, "address": fmt.Sprintf("%s:%d", r.ip, portServer), "zone": r.zone, "version": "v1", "slots": 12,
			"state": r.state.Load(), "cold_remaining_ms": 0, "sequence": r.sequence.Add(1), "born": r.born,
		})
		if err != nil {
			return
		}
		if status, _ := r.fleet.operator(i, http.MethodPut, name("path-instances")+r.id, string(body)); status/100 != 2 {
			i++
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		r.mu.Lock()
		r.lastBeat = time.Now()
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", r.id)
	if expected := request.Header.Get(name("header-expected")); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.Method == http.MethodGet && request.URL.Path == "/healthz" {
		return
	}
	if id == "" {
		w.Header().Set(name("header-not-run"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if !r.readPrompt(request) {
		w.Header().Set(name("header-not-run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.runs.Add(1)
	if r.onRun != nil {
		r.onRun(r, run{request: id, account: request.Header.Get(name("header-account")), path: request.URL.Path, body: body, at: time.Now()})
	}
	time.Sleep(r.work)
	w.Header().Set(name("header-signature"), "sig."+r.id+"."+id)
	if !strings.Contains(request.URL.Path, "/chat/") {
		answer := []byte("done " + id)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range r.events {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, r.eventData(id, i+1))
		w.(http.Flusher).Flush()
		time.Sleep(r.pauseBetweenEvts)
	}
}

// eventData is the data of the nth event of a request's stream.
func (r *replica) eventData(request string, n int) string { return eventData(request, n) }

func eventData(request string, n int) string { return fmt.Sprintf("%s/%d", request, n) }

// streamOutput is what the system has to store of a stream of n events.
func streamOutput(request string, n int) []byte {
	var b bytes.Buffer
	for i := range n {
		b.WriteString(eventData(request, i+1) + "\n")
	}
	return b.Bytes()
}

func (r *replica) end() {
	r.stop()
	_ = r.server.Close()
}

// promptTokensPerMs is the speed at which an engine of the sheet reads prompts.
const promptTokensPerMs = 82.8

// readPrompt waits until the prompt is read, one prompt at a time. It reports whether the request may run: its deadline has not
// passed in the queue, and its sender has not left.
func (r *replica) readPrompt(request *http.Request) bool {
	prompt, _, _ := strings.Cut(request.Header.Get(name("header-usage")), ",")
	tokens, err := strconv.Atoi(prompt)
	if err != nil {
		return true // not a turn
	}
	deadline, err := strconv.Atoi(request.Header.Get(name("header-deadline")))
	if err != nil {
		return false
	}
	timer := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer timer.Stop()
	select {
	case r.reading <- struct{}{}:
	case <-timer.C:
		return false
	case <-request.Context().Done():
		return false
	}
	defer func() { <-r.reading }()
	select {
	case <-time.After(time.Duration(float64(tokens) / promptTokensPerMs * float64(time.Millisecond))):
		return true
	case <-request.Context().Done():
		return false
	}
}
