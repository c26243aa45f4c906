package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runReturning: programs are stopped when the process of their edge machine is killed during their second turn, and return within
// retention_s. Each goes on from its last turn that was answered whole, and then with one turn more.
func runReturning(s *scene) (bool, error) {
	const (
		programs = 26
		spacing  = 200 * time.Millisecond
		killAt   = 13 * time.Second // after the first program's first turn; the second turns begin shortly before
		ahead    = 300 * time.Millisecond
		// age is the time from the end of a program's first turn to its return: 54 to 60 s after it was stopped.
		age = 67600 * time.Millisecond
	)
	r, err := s.fleet.newReplica("i-1", "models", zones[0], 101)
	if err != nil {
		return false, err
	}
	defer r.close()
	r.events, r.gap = 12, 180*time.Millisecond
	if err := s.begin(config(1, route("chat", "/chat/", "streaming", "models", map[string]any{"stateful": true})), r); err != nil {
		return false, err
	}
	edges := s.fleet.class("edge")
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Add(1)
	go func() { // other programs go on all the while
		defer others.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			(&program{id: newID()}).turn(edges[2], "another program", 100000)
		}
	}()
	type line struct {
		program
		chain string // what the replica is to receive before the next input
	}
	var mu sync.Mutex
	wrong, judged, stopped, refused := 0, 0, 0, 0
	turn := func(p *line, edge *machine, in string) answer {
		before := p.chain
		a := p.turn(edge, in, 100000)
		for _, x := range r.ran(a.id) {
			mu.Lock()
			judged++
			if x.body != before+in {
				wrong++
				s.rec.line("replica: ran %s of %s with body %q; the chain and the new input are %q", a.id, p.id, x.body, before+in)
			}
			mu.Unlock()
		}
		if a.served() {
			p.chain = before + in + strings.Join(a.events, "\n") + "\n"
		}
		return a
	}
	begun := time.Now()
	killTime := begun.Add(killAt)
	var lines sync.WaitGroup
	for i := range programs {
		lines.Add(1)
		go func() {
			defer lines.Done()
			time.Sleep(time.Duration(i) * spacing)
			p := &line{program: program{id: fmt.Sprintf("p%d", i)}}
			if a := turn(p, edges[1], "first input\n"); !a.served() {
				return
			}
			ended := time.Now()
			time.Sleep(time.Until(killTime.Add(-ahead)))
			a := turn(p, edges[0], "second input\n")
			if !a.served() {
				mu.Lock()
				stopped++
				mu.Unlock()
			}
			s.rec.line("client: %s, second turn: %s; the program is stopped", p.id, a)
			time.Sleep(time.Until(ended.Add(age)))
			s.rec.line("client: %s returns, %.1f s after it was stopped, and goes on from %s", p.id, time.Since(killTime).Seconds(), p.previous)
			a = turn(p, edges[1], "after the return\n")
			s.rec.line("client: %s, first turn after the return: %s", p.id, a)
			if !a.served() {
				mu.Lock()
				if a.status == http.StatusNotFound {
					refused++
				}
				mu.Unlock()
				return
			}
			a = turn(p, edges[2], "and on\n")
			s.rec.line("client: %s, second turn after the return, continues %s: %s", p.id, p.previous, a)
		}()
	}
	time.Sleep(time.Until(killTime))
	if s.trouble {
		edges[0].kill()
		time.Sleep(time.Second)
		if err := edges[0].start(false); err != nil {
			return false, err
		}
	}
	lines.Wait()
	close(stop)
	others.Wait()
	s.rec.line("%d turns ran, %d of them with another body than the chain and the new input; %d second turns broke off; %d programs were told that their turn isn't kept any more",
		judged, wrong, stopped, refused)
	if judged < 2*programs {
		return false, errors.New("too few turns ran")
	}
	return wrong > 0, nil
}
