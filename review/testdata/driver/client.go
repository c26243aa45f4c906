package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host      = "agents.example"
	tenantKey = "3fexd9dnn2ctnfzs989a"
	tenant    = "hule930"
)

var attempts atomic.Int64

// attempt is one client attempt.
type attempt struct {
	edge    *machine
	method  string
	path    string
	body    string
	headers map[string]string
	limit   time.Duration // the client's deadline
	// onEvent is called for each event as it arrives.
	onEvent func(n int)
}

// answer is what a client received for an attempt.
type answer struct {
	id     string
	status int // 0 for no answer
	signed bool
	events []string // data of the complete events
	ids    []string
	whole  bool   // the answer arrived up to its end
	body   string // of an answer that is no stream
	fault  string // what the client saw of an answer that isn't whole
}

func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(attempts.Add(1)))
}

// send sends an attempt on a new connection and reads the answer.
func (a attempt) send() answer {
	out := answer{id: newID()}
	deadline := time.Now().Add(a.limit)
	conn, err := net.DialTimeout("tcp", a.edge.address(frontPort), time.Second)
	if err != nil {
		out.fault = "no connection: " + err.Error()
		return out
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nConnection: close\r\n",
		a.method, a.path, host, out.id, wireName("deadline"), a.limit.Milliseconds(), tenantKey)
	for name, value := range a.headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if a.body != "" || a.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	head.WriteString("\r\n")
	head.WriteString(a.body)
	if _, err := conn.Write(head.Bytes()); err != nil {
		out.fault = "write: " + err.Error()
		return out
	}
	a.read(bufio.NewReader(conn), &out)
	return out
}

// read reads an answer as HTTP/1.1 has it.
func (a attempt) read(r *bufio.Reader, out *answer) {
	line, err := r.ReadString('\n')
	if err != nil {
		out.fault = "no answer: " + err.Error()
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/1.") {
		out.fault = fmt.Sprintf("not an answer: %q", line)
		return
	}
	out.status, _ = strconv.Atoi(fields[1])
	length, chunked := -1, false
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			out.fault = "head: " + err.Error()
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			length, _ = strconv.Atoi(value)
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "x-response-signature":
			out.signed = true
		}
	}
	if !chunked {
		data := make([]byte, max(length, 0))
		n := 0
		for n < len(data) {
			m, err := r.Read(data[n:])
			n += m
			if err != nil {
				out.fault = "body: " + err.Error()
				return
			}
		}
		out.body, out.whole = string(data), true
		return
	}
	var pending string
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			out.fault = "chunk: " + err.Error()
			return
		}
		size, err := strconv.ParseInt(strings.TrimRight(line, "\r\n"), 16, 32)
		if err != nil {
			out.fault = fmt.Sprintf("not a chunk: %q", line)
			return
		}
		data := make([]byte, size+2)
		n := 0
		for n < len(data) {
			m, err := r.Read(data[n:])
			n += m
			if err != nil {
				out.fault = "chunk: " + err.Error()
				return
			}
		}
		if size == 0 {
			out.whole = pending == ""
			return
		}
		pending += string(data[:size])
		for {
			event, rest, found := strings.Cut(pending, "\n\n")
			if !found {
				break
			}
			pending = rest
			for _, line := range strings.Split(event, "\n") {
				name, value, _ := strings.Cut(line, ":")
				switch name {
				case "id":
					out.ids = append(out.ids, strings.TrimSpace(value))
				case "data":
					out.events = append(out.events, strings.TrimSpace(value))
				}
			}
			if a.onEvent != nil {
				a.onEvent(len(out.events))
			}
		}
	}
}

// served reports whether the answer counts: a success with the replica's signature and the whole body.
func (a answer) served() bool { return a.status/100 == 2 && a.signed && a.whole }

func (a answer) String() string {
	text := fmt.Sprintf("%s: status %d, signed %v, whole %v", a.id, a.status, a.signed, a.whole)
	if len(a.events) > 0 {
		text += fmt.Sprintf(", %d events", len(a.events))
	}
	if a.status/100 != 2 && a.body != "" {
		text += ", body " + a.body
	}
	if a.fault != "" {
		text += ", " + a.fault
	}
	return text
}
