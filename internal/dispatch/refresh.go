package dispatch

import (
	"encoding/json"
	"time"

	"egretramp/internal/message"
	"egretramp/internal/upstream"
)

// refresh sends each dispatcher the digests of this VM's waiting and running requests in its pools.
func (c *Client) refresh() {
	byPool := map[upstream.Pool]*PoolRefresh{}
	of := func(pool upstream.Pool) *PoolRefresh {
		if byPool[pool] == nil {
			byPool[pool] = &PoolRefresh{Pool: pool}
		}
		return byPool[pool]
	}
	c.mu.Lock()
	for id, held := range c.running {
		r := of(held.Pool)
		r.Running = r.Running.with(digestOf(id))
	}
	for id, w := range c.waiting {
		r := of(w.enqueue.Pool)
		r.Waiting = r.Waiting.with(digestOf(id))
	}
	c.mu.Unlock()
	byVM := map[string]*Refresh{}
	for pool, r := range byPool {
		ranked := c.opts.Locator.Dispatchers(pool)
		if len(ranked) == 0 {
			continue
		}
		if byVM[ranked[0]] == nil {
			byVM[ranked[0]] = &Refresh{}
		}
		byVM[ranked[0]].Pools = append(byVM[ranked[0]].Pools, *r)
	}
	for vm, r := range byVM {
		c.opts.Network.Send(vm, KindRefresh, message.Encode(r))
	}
}

// HandleLacking answers a dispatcher that lacks some of the refreshed requests with the requests in
// full.
func (c *Client) HandleLacking(from string, payload []byte) {
	var l Lacking
	if json.Unmarshal(payload, &l) != nil {
		return
	}
	if whole := c.fullRequests(l); len(whole.Running)+len(whole.Waiting) > 0 {
		c.opts.Network.Send(from, KindRefresh, message.Encode(whole))
	}
}

// fullRequests returns the requests that a dispatcher lacks, except those that have ended since.
func (c *Client) fullRequests(l Lacking) Refresh {
	wanted := map[upstream.Pool]map[digest]bool{}
	for _, p := range l.Pools {
		wanted[p.Pool] = map[digest]bool{}
		p.Requests.each(func(d digest) { wanted[p.Pool][d] = true })
	}
	var r Refresh
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, held := range c.running {
		if wanted[held.Pool][digestOf(id)] {
			r.Running = append(r.Running, held)
		}
	}
	for id, w := range c.waiting {
		if wanted[w.enqueue.Pool][digestOf(id)] {
			r.Waiting = append(r.Waiting, w.enqueue)
		}
	}
	return r
}

// handleRefresh applies a refresh of an entry VM and replies with the requests that this dispatcher
// lacks.
func (h *Host) handleRefresh(from string, r Refresh) {
	now := h.opts.Clock()
	for _, e := range r.Waiting {
		h.enqueue(from, e)
	}
	for _, held := range r.Running {
		h.adopt(now, from, held)
	}
	var lacking Lacking
	for _, p := range r.Pools {
		if l := h.refreshPool(now, p); len(l) > 0 {
			lacking.Pools = append(lacking.Pools, PoolLacking{Pool: p.Pool, Requests: l})
		}
	}
	if len(lacking.Pools) > 0 {
		h.opts.Network.Send(from, KindLacking, message.Encode(lacking))
	}
}

// refreshPool records the time of the refresh for the requests of a pool and returns the digests of
// those that this dispatcher lacks.
func (h *Host) refreshPool(now time.Duration, r PoolRefresh) digests {
	p := h.pool(r.Pool)
	var lacking digests
	r.Waiting.each(func(d digest) {
		if known := p.byDigest[d]; known != nil {
			known.refreshedAt = now
			return
		}
		lacking = lacking.with(d)
	})
	r.Running.each(func(d digest) {
		known := p.byDigest[d]
		if known != nil {
			known.refreshedAt = now
		}
		// A request that is queued here but running was granted by an earlier dispatcher.
		if known == nil || known.reply.State != StateGranted {
			lacking = lacking.with(d)
		}
	})
	return lacking
}
