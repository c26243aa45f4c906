package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"egretramp/internal/message"
	"egretramp/internal/upstream"
)

// MethodDrain has a Drain as its request and a DrainReply as its response.
const MethodDrain = "dispatch.drain"

// Drain makes a dispatcher grant no calls to one incarnation of an upstream for a time. VMs of the
// zone that do not dispatch for the pool store it as well, in case they take it over.
type Drain struct {
	Pool        upstream.Pool `json:"pool"`
	Upstream    string        `json:"upstream"`
	Incarnation int64         `json:"incarnation"`
	ForMS       int64         `json:"for_ms"` // milliseconds; 0 ends the drain
}

// DrainReply answers a Drain.
type DrainReply struct {
	// Calls is how many calls of the pool are running at the upstream, by this VM's state.
	Calls int `json:"calls"`
}

// drains holds the time at which each drain ends.
type drains map[drainKey]time.Duration

type drainKey struct {
	pool        upstream.Pool
	upstream    string
	incarnation int64
}

func (d drains) inForce(now time.Duration, key upstream.Pool, name string, incarnation int64) bool {
	return now < d[drainKey{key, name, incarnation}]
}

func (h *Host) drain(d Drain) DrainReply {
	now := h.opts.Clock()
	key := drainKey{d.Pool, d.Upstream, d.Incarnation}
	if d.ForMS == 0 {
		delete(h.drains, key)
	} else {
		h.drains[key] = max(h.drains[key], now+time.Duration(d.ForMS)*time.Millisecond)
	}
	p, ok := h.pools[d.Pool]
	if !ok {
		return DrainReply{}
	}
	h.refreshReplica(now, d.Pool, p, d.Upstream)
	calls := 0
	for _, r := range p.requests.byID {
		if r.reply.State == StateGranted && r.reply.Grant != nil && r.reply.Grant.Upstream == d.Upstream {
			calls++
		}
	}
	return DrainReply{Calls: calls}
}

// refreshReplica updates an upstream in a pool from the directory and plans the pool.
func (h *Host) refreshReplica(now time.Duration, key upstream.Pool, p *pool, name string) {
	record, ok := h.directory.Get(name)
	if !ok {
		return
	}
	for _, served := range record.Pools() {
		if served == key {
			p.SetReplica(now, h.replica(now, p, record, key))
			h.plan(now, key, p)
		}
	}
}

// endDrains removes the drains that have expired and restores the upstreams' slots.
func (h *Host) endDrains(now time.Duration) {
	for key, until := range h.drains {
		if now < until {
			continue
		}
		delete(h.drains, key)
		if p, ok := h.pools[key.pool]; ok {
			h.refreshReplica(now, key.pool, p, key.upstream)
		}
	}
}

// HandleDrain serves MethodDrain.
func (h *Host) HandleDrain(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var d Drain
	if err := json.Unmarshal(payload, &d); err != nil {
		return nil, err
	}
	answer := make(chan DrainReply, 1)
	h.post(func() { answer <- h.drain(d) })
	select {
	case drained := <-answer:
		return json.Marshal(drained)
	case <-h.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// DrainAt sends a drain to a VM and returns how many calls are still running there.
func (c *Client) DrainAt(ctx context.Context, vm string, d Drain) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := c.opts.Network.Call(ctx, vm, MethodDrain, message.Encode(d))
	if err != nil {
		return 0, err
	}
	var drained DrainReply
	return drained.Calls, json.Unmarshal(data, &drained)
}
