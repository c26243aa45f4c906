package workload

import (
	"context"
	"net/http"

	"egretramp/internal/fakes"
)

// Single is one call that is not part of a generated program.
type Single struct {
	Account string
	Key     string
	VM      string // callers' listener, IP:port
	Name    string // unique to the call
	// Model of a chat; empty for a service call.
	Model  string
	Text   string // chat
	Stream bool   // chat
	// MaxTokens of a chat; 0: none is requested.
	MaxTokens int
	// Service and Path of a service call.
	Service string
	Path    string
	Body    []byte // service; unique to the call
	// Prefix is white space sent before a chat's body; it does not change the meaning.
	Prefix string
}

// Once makes one call without a program and without retries, and records it.
func (c *Caller) Once(ctx context.Context, s Single) Attempt {
	call := &Call{Account: s.Account, Program: s.Name, Turn: 1, Kind: Service, Service: s.Service, Path: s.Path}
	req := request{method: http.MethodPost, key: s.Key, body: s.Body, service: true}
	if s.Model == "" {
		call.BodyHash = fakes.BodyHash(s.Body)
		req.path = "/v1/services/" + s.Service + s.Path
		return c.probeOnce(ctx, s.VM, req, call)
	}
	call.Kind, call.Model, call.Stream, call.MaxTokens = Chat, s.Model, s.Stream, s.MaxTokens
	call.Messages = []fakes.Message{{Role: "system", Content: s.Name}, {Role: "user", Content: s.Text}}
	body := mustJSON(chatBody{Model: s.Model, Messages: call.Messages, Stream: s.Stream, MaxTokens: s.MaxTokens})
	req.path, req.stream, req.service = pathChat, s.Stream, false
	req.body = append([]byte(s.Prefix), body...)
	return c.probeOnce(ctx, s.VM, req, call)
}
