package dispatch

import (
	"context"
	"encoding/json"

	"egretramp/internal/config"
	"egretramp/internal/message"
	"egretramp/internal/schedule"
	"egretramp/internal/upstream"
	"egretramp/internal/upstream/wire"
)

// Announce forwards a verified announcement to the dispatchers of its pools. It reports whether
// there are any: a zone without live VMs has none.
func (h *Host) Announce(a wire.Announcement) bool {
	payload := message.Encode(a)
	sent := map[string]bool{}
	serves := a.Serves
	if len(serves) == 0 && a.Kind == config.KindEngine {
		// An engine without a model can be ordered to load one; the dispatcher of the pool
		// without a name lists it.
		serves = []string{""}
	}
	for _, served := range serves {
		ranked := h.opts.Locator.Dispatchers(upstream.Pool{Zone: a.Zone, Kind: a.Kind, Name: served})
		if len(ranked) > 0 && !sent[ranked[0]] {
			sent[ranked[0]] = true
			h.opts.Network.Send(ranked[0], KindAnnounce, payload)
		}
	}
	return len(sent) > 0 || len(a.Serves) == 0
}

// HandleAnnounce processes an announcement that another VM forwarded.
func (h *Host) HandleAnnounce(_ string, payload []byte) {
	var a wire.Announcement
	if json.Unmarshal(payload, &a) != nil {
		return
	}
	h.post(func() { h.handleAnnouncement(a) })
}

// HandleEnqueue serves MethodEnqueue: it queues a request and returns its state as a Reply.
func (h *Host) HandleEnqueue(ctx context.Context, from string, payload []byte) ([]byte, error) {
	var e Enqueue
	if err := json.Unmarshal(payload, &e); err != nil {
		return nil, err
	}
	answer := make(chan Reply, 1)
	h.post(func() {
		h.enqueue(from, e)
		answer <- h.replyTo(e)
	})
	select {
	case reply := <-answer:
		return json.Marshal(reply)
	case <-h.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// HandleCancel drops the request that a Cancel names.
func (h *Host) HandleCancel(_ string, payload []byte) {
	var c Cancel
	if json.Unmarshal(payload, &c) != nil {
		return
	}
	h.post(func() { h.finish(c.Pool, c.RequestID, schedule.Outcome{}) })
}

// HandleFinish records the end and outcome of a granted call.
func (h *Host) HandleFinish(_ string, payload []byte) {
	var f Finish
	if json.Unmarshal(payload, &f) != nil {
		return
	}
	h.post(func() { h.finish(f.Pool, f.RequestID, f.Outcome) })
}

// HandleRefresh applies an entry VM's Refresh.
func (h *Host) HandleRefresh(from string, payload []byte) {
	var r Refresh
	if json.Unmarshal(payload, &r) != nil {
		return
	}
	h.post(func() { h.handleRefresh(from, r) })
}

// HandleList serves MethodList: the upstreams that this VM dispatches for, as []Listed.
func (h *Host) HandleList(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	dump, err := h.Dump(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(dump.list(h.opts.Clock()))
}
