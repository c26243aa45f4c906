package suspect

import (
	"context"
	"encoding/json"

	"egretramp/internal/message"
)

// HandleAsk serves MethodAsk: it decides about a run request.
func (g *Guard) HandleAsk(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var a RunRequest
	if err := json.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	return json.Marshal(g.decide(ctx, a))
}

// HandlePoll serves MethodPoll: it returns this VM's ballot.
func (g *Guard) HandlePoll(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var p Poll
	if err := json.Unmarshal(payload, &p); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return json.Marshal(g.arbiter.Vote(g.observe(), p))
}

// HandleRelease handles KindRelease.
func (g *Guard) HandleRelease(_ string, payload []byte) {
	var a RunRequest
	if json.Unmarshal(payload, &a) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.Release(a)
}

// HandleLost serves MethodEnd: it records the end of a run whose upstream was lost.
func (g *Guard) HandleLost(_ context.Context, from string, payload []byte) ([]byte, error) {
	g.HandleEnd(from, payload)
	return nil, nil
}

// HandleEnd handles KindEnd.
func (g *Guard) HandleEnd(_ string, payload []byte) {
	var end End
	if json.Unmarshal(payload, &end) == nil {
		g.recordEnd(end)
	}
}

// HandleHold handles KindHold.
func (g *Guard) HandleHold(_ string, payload []byte) {
	var held []RunRequest
	if json.Unmarshal(payload, &held) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.Hold(g.opts.Clock(), held)
}

// hello is the message with which a VM that was started or frozen requests a Snapshot.
type hello struct {
	Start string `json:"start"`
}

// HandleHello handles KindHello.
func (g *Guard) HandleHello(from string, payload []byte) {
	var h hello
	if json.Unmarshal(payload, &h) != nil {
		return
	}
	g.mu.Lock()
	g.arbiter.NoteStart(from, h.Start)
	state := g.arbiter.Snapshot(g.opts.Clock())
	g.mu.Unlock()
	if len(state.Records)+len(state.Runs) > 0 {
		g.opts.Network.Send(from, KindState, message.Encode(state))
	}
}

// HandleState handles KindState.
func (g *Guard) HandleState(_ string, payload []byte) {
	var state Snapshot
	if json.Unmarshal(payload, &state) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arbiter.MergeSnapshot(g.opts.Clock(), state)
}

// HandleRecords handles KindRecords.
func (g *Guard) HandleRecords(_ string, payload []byte) {
	var records []Record
	if json.Unmarshal(payload, &records) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rec := range records {
		g.arbiter.Merge(g.opts.Clock(), rec)
	}
}
