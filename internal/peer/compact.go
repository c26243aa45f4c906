package peer

import (
	"sync/atomic"

	"egretramp/internal/peer/peerpb"
)

// On a message stream, the sender's name and the kind are left out if they are those of the message before. The VM that
// serves the stream must know that: it says so in the payload of its first heartbeat, which the previous release ignores
// and never sends. A heartbeat of the dialing VM then is an empty envelope.

// acceptsCompact is the payload of a heartbeat by which a VM says that it accepts envelopes without sender and kind.
var acceptsCompact = []byte{1}

// statesCompact reports whether a heartbeat says that its sender accepts envelopes without sender and kind.
func statesCompact(envelope *peerpb.Envelope) bool {
	return envelope.Kind == "" && len(envelope.Payload) == 1 && envelope.Payload[0] == acceptsCompact[0]
}

// compactSender leaves out what the other VM knows from the messages before on the same stream.
type compactSender struct {
	messageSender
	accepted *atomic.Bool // the other VM has said that it accepts this
	named    bool         // a message with the sender's name was sent
	kind     string       // of the last message
}

// Send implements messageSender.
func (s *compactSender) Send(envelope *peerpb.Envelope) error {
	sent := envelope
	if s.accepted.Load() && s.named {
		sent = &peerpb.Envelope{Kind: envelope.Kind, Payload: envelope.Payload}
		if envelope.Kind == s.kind && len(envelope.Payload) > 0 { // without payload it would be a heartbeat
			sent.Kind = ""
		}
	}
	s.named = true
	if envelope.Kind != "" {
		s.kind = envelope.Kind
	}
	return s.messageSender.Send(sent)
}

// compactReceiver restores what a compactSender left out.
type compactReceiver struct {
	from, kind string
}

// expand restores the sender and the kind of a message.
func (r *compactReceiver) expand(envelope *peerpb.Envelope) {
	if envelope.From == "" {
		envelope.From = r.from
	}
	if envelope.Kind == "" && len(envelope.Payload) > 0 {
		envelope.Kind = r.kind
	}
	r.from = envelope.From
	if envelope.Kind != "" {
		r.kind = envelope.Kind
	}
}

// Compact reports whether the message stream to vm is up and vm is of a release that restores what messages leave out.
func (n *Node) Compact(vm string) bool {
	l := n.link(vm)
	return l != nil && l.compact.Load()
}

// Responds reports whether the message stream to vm is up and something was received on it within SuspectTimeout.
func (n *Node) Responds(vm string) bool {
	l := n.link(vm)
	return l != nil && l.healthy()
}
