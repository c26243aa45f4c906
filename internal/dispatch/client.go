package dispatch

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"egretramp/internal/clock"
	"egretramp/internal/config"
	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
)

// callTimeout bounds a call to another VM.
const callTimeout = time.Second

// ClientOptions configures a Client.
type ClientOptions struct {
	Zone    string
	Network Network
	Locator Locator
	Clock   func() time.Duration // default clock.Now
}

// Client requests grants from dispatchers for the calls that arrived at this VM.
type Client struct {
	opts ClientOptions

	mu        sync.Mutex
	waiting   map[string]*waiter
	running   map[string]RunningCall
	summaries map[upstream.Pool]summary
}

type waiter struct {
	enqueue Enqueue
	replies chan Reply
}

type summary struct {
	from   string
	load   schedule.Load
	at     time.Duration
	sentAt time.Duration // by the dispatcher's clock
}

// NewClient returns a client; Run refreshes its requests at the dispatchers.
func NewClient(opts ClientOptions) *Client {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	return &Client{
		opts:      opts,
		waiting:   map[string]*waiter{},
		running:   map[string]RunningCall{},
		summaries: map[upstream.Pool]summary{},
	}
}

// Run sends refreshes to the dispatchers until ctx ends.
func (c *Client) Run(ctx context.Context) {
	clock.Repeat(ctx, RefreshInterval, c.refresh)
}

// HandleGrant delivers a dispatcher's reply to the call whose request was queued.
func (c *Client) HandleGrant(_ string, payload []byte) {
	var r Reply
	if json.Unmarshal(payload, &r) != nil {
		return
	}
	c.mu.Lock()
	w := c.waiting[r.RequestID]
	c.mu.Unlock()
	if w == nil {
		return
	}
	select {
	case w.replies <- r:
	default:
	}
}

// HandleSummary stores the loads of a dispatcher's summary.
func (c *Client) HandleSummary(_ string, payload []byte) {
	var s Summary
	if json.Unmarshal(payload, &s) != nil {
		return
	}
	now := c.opts.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range s.Pools {
		last, known := c.summaries[p.Pool]
		same := known && last.from == s.From
		if same && s.SentAt < last.sentAt && now-last.at <= c.maxSummaryAge(p.Pool) {
			continue // it was delayed and is older than the stored one
		}
		if p.Load.Replicas > 0 {
			c.summaries[p.Pool] = summary{from: s.From, load: p.Load, at: now, sentAt: s.SentAt}
			continue
		}
		// A former dispatcher also reports the pool empty: only the current one's report counts.
		if same {
			delete(c.summaries, p.Pool)
		}
	}
}

// Pools returns the pools with a valid summary and their loads, in the order of their names.
func (c *Client) Pools() []PoolSummary {
	now := c.opts.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []PoolSummary
	for p, s := range c.summaries {
		if now-s.at > c.maxSummaryAge(p) {
			delete(c.summaries, p)
			continue
		}
		all = append(all, PoolSummary{Pool: p, Load: s.load})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Pool.String() < all[j].Pool.String() })
	return all
}

// maxSummaryAge returns how long a summary of a pool is valid.
func (c *Client) maxSummaryAge(p upstream.Pool) time.Duration {
	if p.Zone == c.opts.Zone {
		return SummaryAge
	}
	return RemoteSummaryAge
}

// ListAt requests from a VM the upstreams that it dispatches for.
func (c *Client) ListAt(ctx context.Context, vm string) ([]Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := c.opts.Network.Call(ctx, vm, MethodList, nil)
	if err != nil {
		return nil, err
	}
	var listed []Listed
	return listed, json.Unmarshal(data, &listed)
}

// Acquire waits for a grant until ctx ends. preferred is the zone that holds the program's
// prefix, or empty. Its errors are of type *Error.
func (c *Client) Acquire(ctx context.Context, kind config.UpstreamKind, name, preferred string, r schedule.Request) (*Grant, error) {
	tried := map[upstream.Pool]bool{}
	refused := &Error{Code: CodeNoUpstream}
	for {
		next := firstUntried(c.rankPools(kind, name, preferred, &r), tried)
		if next == nil {
			return nil, refused
		}
		tried[*next] = true
		grant, err := c.acquireFrom(ctx, *next, r)
		if grant != nil {
			return grant, nil
		}
		if err.Code == CodeTimeout {
			return nil, err
		}
		// Another zone may have an upstream: a call is refused only if all zones refuse it.
		refused = refused.earlierRetry(err)
	}
}

func firstUntried(pools []upstream.Pool, tried map[upstream.Pool]bool) *upstream.Pool {
	for i := range pools {
		if !tried[pools[i]] {
			return &pools[i]
		}
	}
	return nil
}

// rankPools returns the zones' pools for a call, in the order of their ZoneCost.
func (c *Client) rankPools(kind config.UpstreamKind, name, preferred string, r *schedule.Request) []upstream.Pool {
	type candidate struct {
		pool upstream.Pool
		cost time.Duration
	}
	var found []candidate
	for _, s := range c.Pools() {
		if s.Pool.Kind != kind || s.Pool.Name != name {
			continue
		}
		if len(c.opts.Locator.Dispatchers(s.Pool)) == 0 {
			continue
		}
		found = append(found, candidate{pool: s.Pool, cost: ZoneCost(s.Load, s.Pool.Zone == c.opts.Zone, s.Pool.Zone == preferred, r)})
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].cost < found[j].cost })
	pools := make([]upstream.Pool, len(found))
	for i := range found {
		pools[i] = found[i].pool
	}
	return pools
}

func (c *Client) acquireFrom(ctx context.Context, pool upstream.Pool, r schedule.Request) (*Grant, *Error) {
	w := &waiter{enqueue: Enqueue{Pool: pool, Request: r}, replies: make(chan Reply, 4)}
	c.mu.Lock()
	c.waiting[r.ID] = w
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, r.ID)
		c.mu.Unlock()
	}()
	reply, ok := c.enqueue(ctx, w.enqueue)
	if !ok {
		return nil, &Error{Code: CodeNoUpstream}
	}
	for {
		switch reply.State {
		case StateGranted:
			c.addRunning(pool, r, reply.Grant)
			return reply.Grant, nil
		case StateRefused:
			return nil, &Error{Code: CodeRefused, Reason: reply.Reason, RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond}
		case StateNoUpstream:
			return nil, &Error{Code: CodeNoUpstream}
		}
		var err *Error
		reply, err = c.awaitReply(ctx, w)
		if err != nil {
			return nil, err
		}
	}
}

// awaitReply waits for a queued request's next state. It sends the request again after
// RefreshInterval, since the grant message may be lost and the dispatcher may have changed.
func (c *Client) awaitReply(ctx context.Context, w *waiter) (Reply, *Error) {
	poll := time.NewTimer(RefreshInterval)
	defer poll.Stop()
	select {
	case reply := <-w.replies:
		return reply, nil
	case <-poll.C:
		reply, ok := c.enqueue(ctx, w.enqueue)
		if !ok {
			return Reply{}, &Error{Code: CodeNoUpstream}
		}
		return reply, nil
	case <-ctx.Done():
		c.send(w.enqueue.Pool, KindCancel, message.Encode(Cancel{Pool: w.enqueue.Pool, RequestID: w.enqueue.Request.ID}))
		return Reply{}, &Error{Code: CodeTimeout}
	}
}

// enqueue sends the request to the pool's dispatcher, or to the next VM of its zone if that one
// cannot be reached.
func (c *Client) enqueue(ctx context.Context, e Enqueue) (Reply, bool) {
	payload := message.Encode(e)
	for _, vm := range c.opts.Locator.Dispatchers(e.Pool) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := c.opts.Network.Call(callCtx, vm, MethodEnqueue, payload)
		cancel()
		if err != nil {
			continue
		}
		var reply Reply
		if json.Unmarshal(data, &reply) == nil {
			return reply, true
		}
	}
	return Reply{}, false
}

func (c *Client) addRunning(pool upstream.Pool, r schedule.Request, g *Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[r.ID] = RunningCall{Pool: pool, Request: r, Upstream: g.Upstream, Incarnation: g.Incarnation}
}

// Release reports the end of a granted call. It must be called once for each grant.
func (c *Client) Release(g *Grant, o schedule.Outcome) {
	c.mu.Lock()
	delete(c.running, g.RequestID)
	c.mu.Unlock()
	c.send(g.Pool, KindFinish, message.Encode(Finish{Pool: g.Pool, RequestID: g.RequestID, Outcome: o}))
}

// send sends a message to the pool's dispatcher.
func (c *Client) send(pool upstream.Pool, kind string, payload []byte) {
	ranked := c.opts.Locator.Dispatchers(pool)
	if len(ranked) > 0 {
		c.opts.Network.Send(ranked[0], kind, payload)
	}
}
