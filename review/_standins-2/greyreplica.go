package main

import (
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

const (
	greyShare    = 0.4             // of its requests that a grey replica fails, as in srv_grey
	greyReplicas = 1               // of six, as in srv_grey with share 0.15
	greyTime     = 5 * time.Second // the default of for_s
	greyRequests = 800
	greyGap      = 12 * time.Millisecond
)

func init() { cases["grey-replica"] = greyReplica }

// greyReplica sends requests that may run at most once while one replica fails part of what it runs with status 503, and
// checks that no request that was answered with a promise (429, 503, 408, 421) has run.
func greyReplica(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	ran := map[string]string{} // the replica that ran a request
	replicas, err := f.startServed(3, 6, func(r *replica, run run) {
		mu.Lock()
		defer mu.Unlock()
		ran[run.request] = r.id
	})
	if err != nil {
		return false, err
	}
	if trouble {
		grey := 0
		for _, r := range replicas {
			if r.service == "app" && grey < greyReplicas {
				grey++
				f.record.line("replica %s turns grey for %v", r.id, greyTime)
				time.AfterFunc(greyTime, func() { r.failure.Store(nil) })
				r.setFailure(func(request string) int {
					h := fnv.New32a()
					_, _ = h.Write([]byte(request))
					if float64(h.Sum32()%1000) < 1000*greyShare {
						return http.StatusServiceUnavailable
					}
					return 0
				})
			}
		}
	}
	edges := f.of("edge")
	c := newClient(keyA)
	var wg sync.WaitGroup
	var promised, served, other int
	for n := range greyRequests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := turn{request: newID(), body: []byte("charge"), deadline: 2 * time.Second}
			m := edges[n%len(edges)]
			a := c.send(m, "/once/charge", t)
			mu.Lock()
			defer mu.Unlock()
			by, hasRun := ran[t.request]
			f.record.line("request %s to %s: %v; run by %q", t.request, m.name, a, by)
			switch a.status {
			case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				if hasRun {
					promised++
				}
			case http.StatusOK:
				served++
			default:
				other++
			}
		}()
		time.Sleep(greyGap)
	}
	wg.Wait()
	f.record.line("served %d, other answers %d, answered 'not run' though it has run %d", served, other, promised)
	return promised > 0, nil
}
