package main

import (
	"bytes"
	"fmt"
	"time"
)

// Programs of the case, and the turns of each.
const (
	commentPrograms = 20
	commentTurns    = 3
)

// streamComments lets the replicas send comments between the events of their streams, and compares the bodies of the turns that they
// run with the chains that the turns continue.
func streamComments(r *record, trouble bool) (int, error) {
	f, err := newServing(r, pelucaClasses)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return failure, err
	}
	for _, s := range f.models {
		s.mu.Lock()
		s.bodies, s.comments = map[string][]byte{}, trouble
		s.mu.Unlock()
	}
	edges := f.of("edge")
	runs, wrong := 0, 0
	for p := range commentPrograms {
		program, previous := newID(), ""
		var chain []byte // what the replica is to receive before the turn's own input
		for n := range commentTurns {
			input := fmt.Appendf(nil, "question %d of program %s; ", n+1, program)
			edge := edges[(p+n*(p%2))%len(edges)] // half of the programs stay at one machine
			t := f.turn(edge, program, previous, 30*time.Second, input)
			if !t.served {
				return failure, fmt.Errorf("turn %s was answered %d", t.id, t.status)
			}
			want := append(bytes.Clone(chain), input...)
			got := f.received(t.id)
			runs++
			if !bytes.Equal(got, want) {
				wrong++
				if wrong <= 6 {
					r.printf("turn %s at %s, turn %d of program %s: the replica is to receive %q and receives %q", t.id, edge.node, n+1, program, want, got)
				}
			}
			chain = want
			for i := range streamEvents {
				chain = append(append(chain, eventData(t.id, i+1)...), '\n')
			}
			previous = t.id
		}
	}
	r.printf("%d turns were run, %d of them with a body that isn't the chain's earlier inputs and outputs and then the new input", runs, wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// received returns the body with which a request was run.
func (f *fleet) received(id string) []byte {
	for _, s := range f.models {
		s.mu.Lock()
		body, ok := s.bodies[id]
		s.mu.Unlock()
		if ok {
			return body
		}
	}
	return nil
}
