package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// leave announces by DELETE that the replica leaves, at one core machine.
func (r *replica) leave(c *machine) bool {
	status, _ := plain(http.MethodDelete, "http://"+c.address(controlPort)+wireName("calls")+"instances/"+r.id, nil, time.Second)
	return status/100 == 2
}

// runLeaving: replicas leave by DELETE, at another core machine than that of their heartbeats, and an edge machine's process is
// killed and started right after.
func runLeaving(s *scene) (bool, error) {
	const (
		rounds  = 10
		workers = 4
		work    = 60 * time.Millisecond
		linger  = 4200 * time.Millisecond // from the acknowledgement to the exit: drain_timeout_ms and some seconds
	)
	core := s.fleet.class("core")
	for i := range 14 {
		r, err := s.fleet.newReplica(fmt.Sprintf("i-%d", i+1), "models", zones[i%3], 101+i)
		if err != nil {
			return false, err
		}
		defer r.close()
		r.work = work
		go r.heartbeats()
	}
	if err := s.begin(config(1, route("pay", "/pay/", "non_idempotent", "models", map[string]any{"sticky": false}))); err != nil {
		return false, err
	}
	edge := s.fleet.class("edge")[0]
	sent, late, lost := 0, 0, 0
	for round := range rounds {
		// Two replicas that send their heartbeats to one core machine and leave at another.
		beats, leaves := []*machine{core[0], core[1]}, []*machine{core[1], core[0]}
		var leaving []*replica
		for i := range 2 {
			r, err := s.fleet.newReplica(fmt.Sprintf("i-%d-%d", round+1, 5+i), "models", zones[i], 121+2*round+i)
			if err != nil {
				return false, err
			}
			r.work = work
			leaving = append(leaving, r)
		}
		for n := range 2 {
			for i, r := range leaving {
				if !r.beat(beats[i], "ready") {
					return false, errors.New("a heartbeat was not acknowledged")
				}
			}
			if n == 0 {
				time.Sleep(heartbeat)
			}
		}
		var acknowledged [2]time.Time
		for i, r := range leaving {
			if !r.leave(leaves[i]) {
				return false, errors.New("a DELETE was not acknowledged")
			}
			acknowledged[i] = time.Now()
			s.rec.line("replica %s: last heartbeat acknowledged by %s, DELETE acknowledged by %s", r.id, beats[i].name, leaves[i].name)
		}
		started := time.Now().Add(-time.Minute)
		if s.trouble {
			edge.kill()
			started = time.Now()
			if err := edge.start(false); err != nil {
				return false, err
			}
		}
		for !edge.ready() {
			time.Sleep(20 * time.Millisecond)
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i, r := range leaving {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Until(acknowledged[i].Add(linger)))
				s.rec.line("replica %s: exits", r.id)
				r.close()
			}()
		}
		for range workers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Since(acknowledged[1]) < linger+500*time.Millisecond {
					inTouch := time.Since(started) > stabilityWindow+100*time.Millisecond
					a := attempt{edge: edge, method: http.MethodPost, path: "/pay/x", body: "deposit", limit: 2 * time.Second}.send()
					mu.Lock()
					sent++
					for i, r := range leaving {
						for _, x := range r.ran(a.id) {
							after := x.at.Sub(acknowledged[i])
							if !inTouch || after <= drainTimeout {
								continue
							}
							late++
							if !a.served() {
								lost++
							}
							s.rec.line("replica %s: runs %s, %.3f s after the acknowledgement of its DELETE, sent by an edge machine in touch; the client gets %s", r.id, a.id, after.Seconds(), a)
						}
					}
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		time.Sleep(time.Second)
	}
	s.rec.line("%d requests sent; %d reached a replica that had left for longer than drain_timeout_ms, through a machine in touch; %d of these ran and were not answered", sent, late, lost)
	return late > 0, nil
}
