package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runResumedTurn: an edge machine is killed while it passes on a turn; the client resumes the stream at another machine, and
// the next turn continues the one that was resumed.
func runResumedTurn(s *scene) (bool, error) {
	const rounds = 5
	r, err := s.fleet.newReplica("i-1", "models", zones[0], 101)
	if err != nil {
		return false, err
	}
	defer r.close()
	r.events, r.gap = 6, 60*time.Millisecond
	chat := route("chat", "/chat/", "streaming", "models", map[string]any{"stateful": true, "resumable": true})
	if err := s.begin(config(1, chat), r); err != nil {
		return false, err
	}
	edges := s.fleet.class("edge")
	wrong, judged := 0, 0
	for round := range rounds {
		first, second, third := edges[round%3], edges[(round+1)%3], edges[(round+2)%3]
		id := fmt.Sprintf("p%d", round)
		headers := map[string]string{
			wireName("program"): id, wireName("line"): id, "X-Finish-Ms": "20000", wireName("budget"): "2000", wireName("usage"): "600,72", "X-Model": "m",
		}
		in1, in2 := "first input "+id+"\n", "second input "+id
		var once sync.Once
		a := attempt{edge: first, method: http.MethodPost, path: "/chat/turn/1", body: in1, headers: headers, limit: 3 * time.Second, onEvent: func(n int) {
			if n == 3 && s.trouble {
				once.Do(first.kill)
			}
		}}.send()
		s.rec.line("client: %s at %s: %s", id, first.name, a)
		events := a.events
		if !a.whole {
			time.Sleep(200 * time.Millisecond)
			headers["Last-Event-Id"] = a.ids[len(a.ids)-1]
			a = attempt{edge: second, method: http.MethodPost, path: "/chat/turn/1", body: in1, headers: headers, limit: 3 * time.Second}.send()
			s.rec.line("client: %s resumed at %s after event %s: %s", id, second.name, headers["Last-Event-Id"], a)
			delete(headers, "Last-Event-Id")
			events = append(events, a.events...)
			if err := first.start(false); err != nil {
				return false, err
			}
		}
		if !a.served() || len(events) != r.events {
			s.rec.line("client: the turn of %s wasn't answered whole; the program ends", id)
			continue
		}
		headers[wireName("previous")] = a.id
		b := attempt{edge: third, method: http.MethodPost, path: "/chat/turn/1", body: in2, headers: headers, limit: 3 * time.Second}.send()
		s.rec.line("client: next turn of %s at %s: %s", id, third.name, b)
		want := in1 + strings.Join(events, "\n") + "\n" + in2
		for _, x := range r.ran(b.id) {
			judged++
			if x.body != want {
				wrong++
			}
			s.rec.line("replica: ran %s with body %q; the chain and the new input are %q; equal: %v", b.id, x.body, want, x.body == want)
		}
		time.Sleep(4 * time.Second)
	}
	s.rec.line("%d of %d continued turns ran with another body than the chain", wrong, judged)
	if judged == 0 {
		return false, errors.New("no turn was continued")
	}
	return wrong > 0, nil
}
