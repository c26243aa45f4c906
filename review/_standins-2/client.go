package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// turn is one client attempt of a turn.
type turn struct {
	program, previous, request string
	body                       []byte
	usage                      string // of tokens, for a turn
	deadline                   time.Duration
}

// answer is what a client got.
type answer struct {
	status int // 0 if there was none
	body   []byte
	whole  bool
	signed bool
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is a client with connections of its own.
type client struct {
	http *http.Client
	key  string
}

func newClient(key string) *client {
	return &client{key: key, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}}
}

// send sends one client attempt to an edge machine.
func (c *client) send(m *machine, path string, t turn) answer {
	ctx, cancel := context.WithTimeout(context.Background(), t.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, portFront, path), bytes.NewReader(t.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "h.example"
	h := request.Header
	h.Set("Authorization", "Bearer "+c.key)
	h.Set("X-Request-Id", t.request)
	h.Set(name("header-deadline"), strconv.Itoa(int(t.deadline.Milliseconds())))
	if t.program != "" {
		h.Set(name("header-program"), t.program)
		h.Set(name("header-line"), t.program)
		h.Set("X-Finish-Ms", "20000")
		h.Set(name("header-budget"), "4000")
		h.Set(name("header-usage"), cmp.Or(t.usage, "1200,60"))
		h.Set("X-Model", "m")
	}
	if t.previous != "" {
		h.Set(name("header-previous"), t.previous)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: body, whole: err == nil, signed: response.Header.Get(name("header-signature")) != "", err: err}
}

// served reports whether the answer is a whole success.
func (a answer) served() bool { return a.status == http.StatusOK && a.whole && a.signed }

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, whole %v", a.status, len(a.body), a.whole)
}
