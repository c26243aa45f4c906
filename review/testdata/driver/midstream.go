package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runMidStream: connections to replicas are reset while streams that may be resumed are under way, and one of the replicas
// fails part of its requests.
func runMidStream(s *scene) (bool, error) {
	const (
		replicas   = 7
		workers    = 24
		greyShare  = 0.4 // of the requests of the replica that fails
		resetShare = 0.5 // of the connections
		resets     = 12
	)
	var list []*replica
	var links []*link
	for i := range replicas {
		r, err := s.fleet.newReplica(fmt.Sprintf("i-%d", i+1), "models", zones[i%3], 101+i)
		if err != nil {
			return false, err
		}
		defer r.close()
		l, err := newLink(fmt.Sprintf("%s.%d:%d", s.fleet.subnet, 151+i, replicaPort), r.listen)
		if err != nil {
			return false, err
		}
		defer l.close()
		r.address = l.listener.Addr().String()
		r.events, r.gap = 12, 40*time.Millisecond
		list, links = append(list, r), append(links, l)
	}
	if s.trouble {
		list[0].fails = func(*http.Request) bool { return rand.Float64() < greyShare }
	}
	recon := route("recon", "/recon/", "streaming", "models", map[string]any{"resumable": true})
	if err := s.begin(config(1, recon), list...); err != nil {
		return false, err
	}
	edge := s.fleet.class("edge")[0]
	var (
		mu                           sync.Mutex
		wg                           sync.WaitGroup
		streams, whole, cut, foreign int
	)
	stop := make(chan struct{})
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := attempt{
					edge: edge, method: http.MethodPost, path: "/recon/turn/1", body: "reconcile gate " + newID(), limit: 3 * time.Second,
					headers: map[string]string{wireName("usage"): "600,144", "X-Model": "m"},
				}.send()
				mu.Lock()
				streams++
				switch {
				case a.whole:
					whole++
				case a.fault != "":
					cut++
				}
				if strings.HasPrefix(a.fault, "not a") {
					foreign++
					s.rec.line("client: %s", a)
					for _, r := range list {
						for _, x := range r.ran(a.id) {
							s.rec.line("  %s: run by replica %s at %.3f after event %q, %d events sent", a.id, r.id, x.at.Sub(s.rec.started).Seconds(), x.after, x.sent)
						}
					}
				}
				mu.Unlock()
			}
		}()
	}
	for range resets {
		time.Sleep(3 * time.Second)
		if !s.trouble {
			continue
		}
		open, reset := 0, 0
		for _, l := range links {
			o, r := l.reset(resetShare)
			open, reset = open+o, reset+r
		}
		s.rec.line("network: %d of %d connections from the edge machine to replicas are reset", reset, open)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	s.rec.line("%d streams, %d answered whole (of any status), %d broken off, of these %d with bytes that are no answer in the protocol", streams, whole, cut, foreign)
	if whole == 0 {
		return false, errors.New("no stream was answered")
	}
	return foreign > 0, nil
}
