package main

import (
	"errors"
	"time"
)

// runLongChain: a conversation of more than 4 MiB goes on at another edge machine than that of its last turn.
func runLongChain(s *scene) (bool, error) {
	r, err := s.fleet.newReplica("i-1", "models", zones[0], 101)
	if err != nil {
		return false, err
	}
	defer r.close()
	if err := s.begin(config(1, route("chat", "/chat/", "streaming", "models", map[string]any{"stateful": true})), r); err != nil {
		return false, err
	}
	edges := s.fleet.class("edge")
	p := &program{id: "long"}
	for range 3 {
		a := p.turn(edges[0], input(1500000), 100000)
		s.rec.line("client: %s", a)
		if !a.served() {
			return false, errors.New("a turn wasn't served")
		}
	}
	edge := edges[0]
	if s.trouble {
		edge = edges[1]
	}
	reached := 0
	for range 6 {
		a := p.turn(edge, "and on", 100000)
		reached += len(r.ran(a.id))
		s.rec.line("client: goes on at %s: %s", edge.name, a)
		if a.served() {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	f := (&program{id: "fresh"}).turn(edge, "a first turn", 100000)
	s.rec.line("client: a first turn at %s: %s", edge.name, f)
	// A single input within max_body_bytes.
	b := (&program{id: "big"}).turn(edges[0], input(4194000), 100000)
	s.rec.line("client: a first turn with an input of 4,194,000 bytes: %s; it ran %d times", b, len(r.ran(b.id)))
	return reached == 0, nil
}
