package workload

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"egretramp/internal/fakes"
	"egretramp/internal/refusal"
)

// CallerOptions describes the callers of a run.
type CallerOptions struct {
	// VMs are the addresses of the VMs' listeners for callers, IP:port.
	VMs []string
	// Keys maps account IDs to keys.
	Keys map[string]string
	// Seed seeds the random choice of VMs and probes.
	Seed int64
	// Attempts is the maximum number of requests for one turn. Default 40.
	Attempts int
	// CallTimeout is the time limit of a request until its answer is complete. Default 20 s.
	CallTimeout time.Duration
	// MaxWait caps the delay before a turn is retried. Default 2 s.
	MaxWait time.Duration
	// ProbePart is the fraction of answered turns that a probe follows, 0 to 1.
	ProbePart float64
	// Persistent callers also retry a turn whose refusal says when to retry but not whether the
	// call ran, and a chat, which may be repeated, also when an upstream failed it.
	Persistent bool
}

// transportErrorDelay is the delay before a retry after a transport error.
const transportErrorDelay = 50 * time.Millisecond

// Caller runs programs and records their requests and outcomes. It is safe for concurrent use.
type Caller struct {
	opts     CallerOptions
	recorder *Recorder
	client   *http.Client

	mu     sync.Mutex
	random *rand.Rand
}

// NewCaller returns a caller that records into recorder.
func NewCaller(opts CallerOptions, recorder *Recorder) *Caller {
	if opts.Attempts == 0 {
		opts.Attempts = 40
	}
	if opts.CallTimeout == 0 {
		opts.CallTimeout = 20 * time.Second
	}
	if opts.MaxWait == 0 {
		opts.MaxWait = 2 * time.Second
	}
	return &Caller{
		opts:     opts,
		recorder: recorder,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		random:   rand.New(rand.NewSource(opts.Seed)),
	}
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// run is the state of one running program.
type run struct {
	caller   *Caller
	program  *Program
	messages []fakes.Message
	children conc.WaitGroup
	failed   []string // reasons of sub-agents that did not finish
	mu       sync.Mutex
}

// Run runs a program to its end, and records and returns its outcome.
func (c *Caller) Run(ctx context.Context, p *Program) Outcome {
	o := Outcome{Program: p, Start: time.Now()}
	r := &run{caller: c, program: p, messages: []fakes.Message{{Role: "system", Content: p.System}}}
	err := r.runSteps(ctx)
	o.End = time.Now()
	o.Finished = err == nil
	if err != nil {
		o.Reason = err.Error()
		o.Abandoned = errors.Is(err, errAbandoned)
		o.Refused = refusalOf(err)
		r.endUnfinished(ctx, o)
	}
	c.recorder.addOutcome(o)
	return o
}

// errAbandoned stops a program that its caller leaves without ending it, as planned.
var errAbandoned = errors.New("abandoned")

// endTimeout is how long a caller retries to end a program that it could not finish.
const endTimeout = 20 * time.Second

// endUnfinished ends a program that did not finish, so that the system frees its resources.
// An abandoned program is not ended.
func (r *run) endUnfinished(ctx context.Context, o Outcome) {
	if o.Abandoned {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	// A program that cannot be ended expires at its deadline.
	_ = r.end(ctx)
}

func (r *run) runSteps(ctx context.Context) error {
	defer r.children.Wait()
	if err := r.create(ctx); err != nil {
		return err
	}
	for i, s := range r.program.Steps {
		if r.program.Abandon > 0 && i == r.program.Abandon {
			return errAbandoned
		}
		if err := sleep(ctx, s.Pause); err != nil {
			return err
		}
		r.startChild(ctx, s.Child)
		if err := r.turn(ctx, i+1, s); err != nil {
			return err
		}
		r.children.Wait()
		if len(r.failed) > 0 {
			return fmt.Errorf("sub-agent: %s", r.failed[0])
		}
	}
	return r.end(ctx)
}

func (r *run) startChild(ctx context.Context, child *Program) {
	if child == nil {
		return
	}
	r.children.Go(func() {
		o := r.caller.Run(ctx, child)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !o.Finished {
			r.failed = append(r.failed, o.Reason)
		}
	})
}

// createBody is the body of POST /v1/programs.
type createBody struct {
	Name       string `json:"name"`
	Parent     string `json:"parent,omitempty"`
	Tokens     int64  `json:"tokens,omitempty"`
	Calls      int64  `json:"calls,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"` // Unix milliseconds
}

func (r *run) create(ctx context.Context) error {
	p := r.program
	deadline := int64(0)
	if p.Deadline > 0 {
		deadline = time.Now().Add(p.Deadline).UnixMilli()
	}
	body := mustJSON(createBody{p.Name, p.Parent, p.Tokens, p.Calls, deadline})
	_, err := r.postResource(ctx, "create", "/v1/programs", body)
	return err
}

func (r *run) end(ctx context.Context) error {
	_, err := r.postResource(ctx, "end", "/v1/programs/"+r.program.Name+"/end", []byte("{}"))
	return err
}

// postResource posts to the programs resource and retries as long as that may help.
func (r *run) postResource(ctx context.Context, what, path string, body []byte) (Attempt, error) {
	req := request{method: http.MethodPost, path: path, key: r.key(), body: body, service: true}
	call := &Call{Account: r.program.Account, Program: r.program.Name, Kind: Resource}
	defer r.caller.recorder.addCall(call)
	var last Attempt
	for range r.caller.opts.Attempts {
		last = r.caller.send(ctx, req)
		call.Attempts = append(call.Attempts, last)
		if last.Status/100 == 2 {
			return last, nil
		}
		if !r.caller.shouldRetry(Resource, last) {
			break
		}
		if err := sleep(ctx, r.caller.retryDelay(last)); err != nil {
			return last, err
		}
	}
	return last, newRefusedError(what, last)
}

// turn makes one call and retries it, each time through a random VM, as long as that may help.
func (r *run) turn(ctx context.Context, number int, s Step) error {
	call, req := r.prepare(number, s)
	defer r.caller.recorder.addCall(call)
	for range r.caller.opts.Attempts {
		a := r.caller.send(ctx, req)
		call.Attempts = append(call.Attempts, a)
		if a.Answered() {
			r.accept(s, a)
			r.probe(ctx, call, req)
			return nil
		}
		if !r.caller.shouldRetry(s.Kind, a) {
			return newRefusedError(fmt.Sprintf("turn %d", number), a)
		}
		if err := sleep(ctx, r.caller.retryDelay(a)); err != nil {
			return err
		}
	}
	return newRefusedError(fmt.Sprintf("turn %d, out of attempts", number), call.Attempts[len(call.Attempts)-1])
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model     string          `json:"model"`
	Messages  []fakes.Message `json:"messages"`
	Stream    bool            `json:"stream,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
}

func (r *run) prepare(number int, s Step) (*Call, request) {
	p := r.program
	call := &Call{Account: p.Account, Program: p.Name, Turn: number, Kind: s.Kind}
	req := request{method: http.MethodPost, key: r.key(), program: p.Name, turn: number}
	if s.Kind == Service {
		call.Service, call.Path, call.BodyHash = s.ServiceID, s.Path, fakes.BodyHash(s.Body)
		req.service = true
		req.path = "/v1/services/" + url.PathEscape(s.Name) + s.Path
		req.body = s.Body
		req.idemKey = fmt.Sprintf("%s-%d", p.Name, number)
		return call, req
	}
	r.messages = append(r.messages, fakes.Message{Role: "user", Content: s.Text})
	call.Model, call.MaxTokens, call.Stream = p.Model, s.MaxTokens, s.Stream
	call.Messages = append([]fakes.Message(nil), r.messages...)
	body := mustJSON(chatBody{s.Name, call.Messages, s.Stream, s.MaxTokens})
	req.path, req.body, req.stream = pathChat, body, s.Stream
	return call, req
}

// accept adds a chat's answer to the conversation.
func (r *run) accept(s Step, a Attempt) {
	if s.Kind == Chat {
		r.messages = append(r.messages, fakes.Message{Role: "assistant", Content: a.Text})
	}
}

func (r *run) key() string {
	return r.caller.opts.Keys[r.program.Account]
}

// probe sends a probe after a random part of the turns: an answered turn must be answered again
// from the record, and a turn that is not due must be refused.
func (r *run) probe(ctx context.Context, call *Call, req request) {
	kind, due := r.caller.drawProbe()
	if !due {
		return
	}
	if kind == ProbeAhead {
		req.turn += 2
	}
	if kind == ProbeAhead && req.idemKey != "" {
		// The turn's own idempotency key would make it a retry of the same call.
		req.idemKey += "-ahead"
	}
	a := r.caller.send(ctx, req)
	a.Probe = kind
	call.Attempts = append(call.Attempts, a)
}

// shouldRetry reports whether retrying a turn may help. A refusal that leaves open whether the
// call ran is final, unless the caller is persistent: the turn number identifies the retry as
// the same call.
func (c *Caller) shouldRetry(kind StepKind, a Attempt) bool {
	if a.Code == "" {
		return true
	}
	if !c.opts.Persistent {
		return a.NotRun != refusal.Unknown && a.Retry > 0
	}
	failed := a.Status/100 == 5 || a.Status == http.StatusOK
	return a.Retry > 0 || kind == Chat && failed
}

// refusedError stops a program; it holds the last attempt of the call that failed.
type refusedError struct {
	what string
	last Attempt
}

func (e *refusedError) Error() string {
	a := e.last
	return fmt.Sprintf("%s: status %d, code %q, not_run %q, error %q", e.what, a.Status, a.Code, a.NotRun, a.Err)
}

func newRefusedError(what string, a Attempt) error {
	return &refusedError{what: what, last: a}
}

// refusalOf returns the last attempt of a program that a refusedError stopped, or nil.
func refusalOf(err error) *Attempt {
	var refused *refusedError
	if !errors.As(err, &refused) {
		return nil
	}
	return &refused.last
}

func (c *Caller) send(ctx context.Context, req request) Attempt {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return send(ctx, c.client, c.pickVM(), req)
}

func (c *Caller) pickVM() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.VMs[c.random.Intn(len(c.opts.VMs))]
}

func (c *Caller) drawProbe() (Probe, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.Float64() >= c.opts.ProbePart {
		return NoProbe, false
	}
	if c.random.Intn(2) == 0 {
		return ProbeAhead, true
	}
	return ProbeResend, true
}

// retryDelay returns the delay before a turn is retried.
func (c *Caller) retryDelay(a Attempt) time.Duration {
	if a.Retry > 0 {
		return min(a.Retry, c.opts.MaxWait)
	}
	return transportErrorDelay
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
