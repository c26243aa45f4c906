package membership

import (
	"math/bits"
	"sort"
	"time"
)

// queuedRumour is a rumour that is still to be sent so many times.
type queuedRumour struct {
	Rumour
	sendsLeft int
}

// send builds a message, with the rumours that were sent least and what is wrongly claimed
// about the receiver, so that it can refute it.
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

// queueRumour queues a rumour in place of older ones about the same VM.
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

// handleRumour weighs what another VM says about a third, or about this one.
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
		// It was heard directly just now: it is told, and refutes the claim, or does not answer.
		ping := t.ping(now, r.VM)
		ping.Gossip.Rumours = append([]Rumour{r}, ping.Gossip.Rumours...)
		return []GossipSend{ping}, nil
	}
	return nil, t.setState(now, r.VM, r.Incarnation, r.State)
}

// supersedes reports whether a rumour outweighs what is held.
func supersedes(r Rumour, p *peer) bool {
	if r.Incarnation != p.incarnation {
		return r.Incarnation > p.incarnation
	}
	return r.State > p.state && r.State >= Dead
}

// refute answers a claim that this VM is gone with a higher incarnation.
func (t *Tracker) refute(r Rumour) {
	if r.State < Dead || r.Incarnation < t.incarnation {
		return
	}
	t.incarnation = r.Incarnation + 1
	t.queueRumour(Rumour{VM: t.opts.VM, Incarnation: t.incarnation, State: Alive})
}
