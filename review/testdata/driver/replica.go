package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica: an engine on streaming routes, a plain service on others.
type replica struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	listen  string // where it serves
	address string // where it is reached, which may be a link in front of it
	born    int64
	server  *http.Server

	// events is the number of events of a stream, gap the time before each.
	events int
	gap    time.Duration
	// work is how long a plain request takes.
	work time.Duration
	// fails, if set, decides which requests the replica fails with its own 500.
	fails func(r *http.Request) bool

	mu   sync.Mutex
	runs []execution
	busy atomic.Int64

	sequence atomic.Int64
	quit     chan struct{}
	closing  sync.Once
}

// execution is a request that a replica ran.
type execution struct {
	at     time.Time
	id     string
	path   string
	after  string // Last-Event-Id
	tenant string
	body   string
	sent   int // events
}

func (f *fleet) newReplica(id, service, zone string, host int) (*replica, error) {
	r := &replica{
		fleet: f, id: id, service: service, zone: zone, listen: fmt.Sprintf("%s.%d:%d", f.subnet, host, replicaPort),
		born: time.Now().UnixMilli(), events: 4, gap: 2 * time.Millisecond, quit: make(chan struct{}),
	}
	r.address = r.listen
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// heartbeats registers the replica until it is closed.
func (r *replica) heartbeats() {
	for {
		for _, c := range r.fleet.class("core") {
			if r.beat(c, "ready") {
				break
			}
		}
		select {
		case <-r.quit:
			return
		case <-time.After(heartbeat):
		}
	}
}

// beat sends one heartbeat to a core machine and reports whether it was acknowledged.
func (r *replica) beat(c *machine, state string) bool {
	data, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 12, "state": state, "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": r.sequence.Add(1), "born": r.born,
	})
	if err != nil {
		return false
	}
	status, _ := plain(http.MethodPut, "http://"+c.address(controlPort)+wireName("calls")+"instances/"+r.id, data, time.Second)
	return status/100 == 2
}

func (r *replica) close() {
	r.closing.Do(func() {
		close(r.quit)
		_ = r.server.Close()
	})
}

// eventData returns the data of an event. It depends on the request's body only, so any replica can go on with a stream.
func eventData(body string, i int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, body)
	return fmt.Sprintf("word-%08x-%d", h.Sum32(), i)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", r.id)
	if q.URL.Path == "/healthz" {
		return
	}
	if expect := q.Header.Get(wireName("expect")); expect != "" && expect != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.busy.Add(1)
	defer r.busy.Add(-1)
	w.Header().Set(wireName("signature"), r.id+"."+id)
	x := execution{at: time.Now(), id: id, path: q.URL.Path, after: q.Header.Get("Last-Event-Id"), tenant: q.Header.Get(wireName("tenant")), body: string(body)}
	r.mu.Lock()
	index := len(r.runs)
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	if r.fails != nil && r.fails(q) {
		r.fleet.rec.line("replica %s: ran %s after event %q, answers 500", r.id, id, x.after)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "internal error")
		return
	}
	if !strings.Contains(q.URL.Path, "/turn/") {
		time.Sleep(r.work)
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	first := 1
	if x.after != "" {
		n, err := strconv.Atoi(x.after)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= r.events; i++ {
		select {
		case <-time.After(r.gap):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventData(string(body), i)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		r.mu.Lock()
		r.runs[index].sent++
		r.mu.Unlock()
	}
}

// ran returns the executions of a request.
func (r *replica) ran(id string) []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []execution
	for _, x := range r.runs {
		if x.id == id {
			found = append(found, x)
		}
	}
	return found
}
