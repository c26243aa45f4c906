package membership

import (
	"math/bits"
	"sort"
	"time"
)

// queuedRumour is a rumour with the number of messages that it is still to be sent in.
type queuedRumour struct {
	Rumour
	sendsLeft int
}

// send completes a message with the rumours that have been sent least often. If the receiver is
// considered dead or left, the message includes that state, so that the receiver can refute it.
func (t *Tracker) send(to string, g Gossip) GossipSend {
	g.Incarnation = t.incarnation
	if p := t.peers[to]; p != nil && p.state >= Dead {
		g.Rumours = append(g.Rumours, Rumour{VM: to, Incarnation: p.incarnation, State: p.state})
	}
	for i := range t.rumours {
		if len(g.Rumours) >= MaxRumours {
			break
		}
		g.Rumours = append(g.Rumours, t.rumours[i].Rumour)
		t.rumours[i].sendsLeft--
	}
	t.sortRumours()
	return GossipSend{To: to, Gossip: g}
}

// queueRumour queues a rumour. It replaces an older one about the same VM.
func (t *Tracker) queueRumour(r Rumour) {
	times := 3 * bits.Len(uint(len(t.peers)+1))
	for i := range t.rumours {
		if t.rumours[i].VM == r.VM {
			t.rumours[i] = queuedRumour{Rumour: r, sendsLeft: times}
			t.sortRumours()
			return
		}
	}
	t.rumours = append(t.rumours, queuedRumour{Rumour: r, sendsLeft: times})
	t.sortRumours()
}

func (t *Tracker) sortRumours() {
	kept := t.rumours[:0]
	for _, r := range t.rumours {
		if r.sendsLeft > 0 && (r.VM == t.opts.VM || t.peers[r.VM] != nil) {
			kept = append(kept, r)
		}
	}
	t.rumours = kept
	sort.SliceStable(kept, func(i, j int) bool { return kept[i].sendsLeft > kept[j].sendsLeft })
}

// handleRumour processes a received rumour about another VM or this one.
func (t *Tracker) handleRumour(now time.Duration, r Rumour) ([]GossipSend, []Change) {
	if r.VM == t.opts.VM {
		t.refute(r)
		return nil, nil
	}
	p := t.peers[r.VM]
	if p == nil || r.State > Left || r.State == Suspect || !supersedes(r, p) {
		return nil, nil
	}
	if r.State == Dead && r.Incarnation == p.incarnation && p.contacted && now-p.lastContact < DirectContactWindow {
		// There was direct contact within DirectContactWindow. The ping carries the rumour: the VM
		// either refutes it or doesn't answer.
		ping := t.ping(now, r.VM)
		ping.Gossip.Rumours = append([]Rumour{r}, ping.Gossip.Rumours...)
		return []GossipSend{ping}, nil
	}
	return nil, t.setState(now, r.VM, r.Incarnation, r.State)
}

// supersedes reports whether a rumour overrides the current state of a peer: a higher incarnation
// does, and so does a stronger state of the same incarnation.
func supersedes(r Rumour, p *peer) bool {
	if r.Incarnation != p.incarnation {
		return r.Incarnation > p.incarnation
	}
	return r.State > p.state && r.State >= Dead
}

// refute spreads that this VM is alive under a higher incarnation if a rumour says otherwise.
func (t *Tracker) refute(r Rumour) {
	if r.State < Dead || r.Incarnation < t.incarnation {
		return
	}
	t.incarnation = r.Incarnation + 1
	t.queueRumour(Rumour{VM: t.opts.VM, Incarnation: t.incarnation, State: Alive})
}
