package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// config returns a configuration: conversations, and requests that may not be repeated.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":3000,"target_latency_ms":200,"priority":1,"service":"llm","max_attempts":1,"stateful":true,"retention_s":60.0,"allow_anonymous":false,"sticky":true,"resumable":false,"gap_aim_ms":200},
{"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":250,"priority":2,"service":"app","max_attempts":1,"stateful":false,"allow_anonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"llm","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":170305,"kv_bytes":262144,"link_mbps":1100000.0,"moves":true,"backups":true,"tokens_per_event":12,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],"priority":1,"rate_per_s":278,"burst":278},{"name":"gopu160","api_keys":["nu6wsjnbanfqasnmgkcu"],"priority":1,"rate_per_s":278,"burst":278}]}`, version)
}

const (
	keyA = "3fexd9dnn2ctnfzs989a" // of hule930
	keyB = "nu6wsjnbanfqasnmgkcu" // of gopu160
)

// startServed starts the deployment with replicas, and waits until a turn is served.
func (f *fleet) startServed(edges, replicas int, onRun func(*replica, run)) ([]*replica, error) {
	if err := f.start(edges); err != nil {
		return nil, err
	}
	var list []*replica
	for i := range replicas {
		for k, service := range []string{"llm", "app"} {
			r, err := f.startReplica(fmt.Sprintf("i-%s%d%d", service, i, time.Now().UnixMilli()%100000), service, zones[i%3], 2*i+k, onRun)
			if err != nil {
				return nil, err
			}
			list = append(list, r)
		}
	}
	if err := f.configure(config(1)); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	c := newClient(keyB)
	for range 50 {
		if f.ordinaryTurn(c, f.of("edge")[0]) {
			return list, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("no turn was served in calm")
}

// ordinaryTurn sends the first turn of a new program and reports whether it was served.
func (f *fleet) ordinaryTurn(c *client, m *machine) bool {
	t := turn{program: newID(), request: newID(), body: bytes.Repeat([]byte("x"), 4300), deadline: 3 * time.Second}
	a := c.send(m, "/chat/a", t)
	f.record.line("ordinary turn %s to %s: %v", t.request, m.name, a)
	return a.served()
}

const (
	largeBytes     = 512 << 10 // an eighth of max_body_bytes; 131,072 tokens of four bytes
	smallBytes     = 4300
	turnsPerSecond = 4
	loadTime       = 90 * time.Second
)

func init() { cases["large-turns"] = largeTurns }

// largeTurns sends turns inside the limits at a small part of the account's rate, and checks that no process ends.
func largeTurns(f *fleet, trouble bool) (bool, error) {
	if _, err := f.startServed(3, 9, nil); err != nil {
		return false, err
	}
	size := smallBytes
	if trouble {
		size = largeBytes
	}
	c, ordinary := newClient(keyA), newClient(keyB)
	body := bytes.Repeat([]byte("y"), size)
	edges := f.of("edge")
	var served, refused, other atomic.Int64
	var wg sync.WaitGroup
	for n, end := 0, time.Now().Add(loadTime); time.Now().Before(end); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := turn{program: newID(), request: newID(), body: body, usage: fmt.Sprintf("%d,60", size/4), deadline: 3 * time.Second}
			a := c.send(edges[n%len(edges)], "/chat/a", t)
			f.record.line("turn %s, %d bytes, to %s: %v", t.request, size, edges[n%len(edges)].name, a)
			switch {
			case a.served():
				served.Add(1)
			case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
				refused.Add(1)
			default:
				other.Add(1)
			}
		}()
		if n%(10*turnsPerSecond) == 0 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.ordinaryTurn(ordinary, edges[(n/10)%len(edges)])
			}()
		}
		time.Sleep(time.Second / turnsPerSecond)
	}
	wg.Wait()
	f.record.line("turns served %d, refused %d, other %d", served.Load(), refused.Load(), other.Load())
	time.Sleep(5 * time.Second)
	answered := false
	for i := range 10 {
		if answered = f.ordinaryTurn(ordinary, edges[i%len(edges)]); answered {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	f.record.line("an ordinary turn after the load was served: %v", answered)
	// RULES.md, Fault: a tenth of the machines in use, two at least.
	ended := 0
	for _, m := range f.machines {
		m.mu.Lock()
		f.record.line("%s: most memory %d MB of %d, ends by itself %d, of them for memory %d", m.name, m.mostMB, memoryMB[m.class], m.ownEnds, m.overLimit)
		if m.ownEnds >= 3 {
			ended++
		}
		m.mu.Unlock()
	}
	return ended >= 2, nil
}
