package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// runBudget: two edge machines are killed while they pass on a program's first turn; the program is stopped and returns.
func runBudget(s *scene) (bool, error) {
	const (
		events    = 10
		mostTurn  = events * tokensPerEvent // the most of one turn, as clients state it
		budget    = 2 * mostTurn
		killAfter = 9                // events
		pause     = 20 * time.Second // retention_s is 60
	)
	r, err := s.fleet.newReplica("i-1", "models", zones[0], 101)
	if err != nil {
		return false, err
	}
	defer r.close()
	r.events, r.gap = events, 40*time.Millisecond
	if err := s.begin(config(1, route("chat", "/chat/", "streaming", "models", map[string]any{"stateful": true})), r); err != nil {
		return false, err
	}
	edges := s.fleet.class("edge")
	// Other programs of the tenant go on all the while.
	var wg sync.WaitGroup
	stop := make(chan struct{})
	defer wg.Wait()
	defer close(stop)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			(&program{id: newID()}).turnOf(edges[2], "another program", 10*mostTurn, mostTurn, nil)
		}
	}()
	p := &program{id: "loop-1"}
	tokens := 0
	turn := func(edge *machine, onEvent func(int)) answer {
		a := p.turnOf(edge, "count the wigs again", budget, mostTurn, onEvent)
		tokens += len(a.events) * tokensPerEvent
		s.rec.line("client: a turn of %s at %s: %s; %d tokens handed out so far, budget %d", p.id, edge.name, a, tokens, budget)
		return a
	}
	for _, edge := range edges[:2] {
		var once sync.Once
		turn(edge, func(n int) {
			if n == killAfter && s.trouble {
				once.Do(edge.kill)
			}
		})
		time.Sleep(200 * time.Millisecond) // a failed turn is sent again after 0.1 to 0.4 s
	}
	for range 3 { // a program that loops sends a turn twice more after a 402
		turn(edges[2], nil)
		time.Sleep(200 * time.Millisecond)
	}
	if s.trouble {
		for _, edge := range edges[:2] {
			if err := edge.start(false); err != nil {
				return false, err
			}
		}
	}
	s.rec.line("client: the program is stopped")
	before := tokens
	time.Sleep(pause)
	s.rec.line("client: the program returns")
	for range 6 {
		if a := turn(edges[2], nil); a.status == http.StatusPaymentRequired {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.rec.line("%d tokens before the pause and %d after it were handed to the client; the budget is %d and the most of one turn %d", before, tokens-before, budget, mostTurn)
	if before == 0 {
		return false, errors.New("no turn ran")
	}
	return tokens > budget+mostTurn, nil
}
