package membership

import (
	"sort"
	"time"
)

// probe is a ping that waits for its ack.
type probe struct {
	target            string
	deadline          time.Duration
	indirect          bool   // ping_req messages were sent to other VMs
	requester         string // VM that sent the ping_req; "" for this VM's own probe
	requesterSequence uint64 // sequence number of the ping_req
}

// roundTargets returns the VMs to ping in this round.
func (t *Tracker) roundTargets() []string {
	usable := func(p *peer) bool { return p.state <= Suspect }
	chosen := t.pickRandom(MaxContacts, usable)
	if t.count(usable) > MaxContacts {
		ring := t.ringSuccessors(RingContacts)
		chosen = ring
		seen := map[string]bool{}
		for _, vm := range ring {
			seen[vm] = true
		}
		elsewhere := func(p *peer) bool { return usable(p) && p.zone != t.opts.Zone }
		for _, vm := range append(t.pickRandom(2, elsewhere), t.pickRandom(MaxContacts, usable)...) {
			if !seen[vm] && len(chosen) < MaxContacts {
				seen[vm] = true
				chosen = append(chosen, vm)
			}
		}
	}
	// After a partition both sides consider each other dead, and one of them has to ping first.
	return append(chosen, t.pickRandom(1, func(p *peer) bool { return p.state == Dead })...)
}

// contactReplacesPing reports whether a recent direct message of a VM makes a ping in this round
// unnecessary.
func (t *Tracker) contactReplacesPing(now time.Duration, vm string) bool {
	p := t.peers[vm]
	return p.state == Alive && p.direct && p.contacted && now-p.lastContact < FreshContactLimit && now-p.lastPing < ProbeInterval
}

// ringSuccessors returns up to n usable VMs that follow this one in the name order of its zone,
// which wraps around.
func (t *Tracker) ringSuccessors(n int) []string {
	var zone []string
	for _, name := range t.order {
		if p := t.peers[name]; p.zone == t.opts.Zone && p.state <= Suspect {
			zone = append(zone, name)
		}
	}
	start := sort.SearchStrings(zone, t.opts.VM)
	var next []string
	for i := 0; i < len(zone) && len(next) < n; i++ {
		next = append(next, zone[(start+i)%len(zone)])
	}
	return next
}

// pickRandom returns up to n VMs chosen at random among those that satisfy ok.
func (t *Tracker) pickRandom(n int, ok func(*peer) bool) []string {
	var names []string
	for _, name := range t.order {
		if ok(t.peers[name]) {
			names = append(names, name)
		}
	}
	for i := 0; i < n && i < len(names); i++ {
		j := i + t.random.IntN(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:min(n, len(names))]
}

// Contacts returns up to n usable VMs chosen at random.
func (t *Tracker) Contacts(n int) []string {
	return t.pickRandom(n, func(p *peer) bool { return p.state <= Suspect })
}

func (t *Tracker) count(ok func(*peer) bool) int {
	n := 0
	for _, p := range t.peers {
		if ok(p) {
			n++
		}
	}
	return n
}

// ping returns a ping for a VM. It starts a probe unless one is in progress or the VM is dead.
func (t *Tracker) ping(now time.Duration, vm string) GossipSend {
	t.sequence++
	t.peers[vm].lastPing = now
	if _, busy := t.ownProbes[vm]; !busy && t.peers[vm].state <= Suspect {
		t.ownProbes[vm] = t.sequence
		t.probes[t.sequence] = &probe{target: vm, deadline: now + AckTimeout}
	}
	return t.send(vm, Gossip{Kind: GossipPing, Sequence: t.sequence, Digest: t.digest})
}

// advanceProbes handles the probes that timed out: it requests indirect pings of a VM that didn't
// answer a direct one, and marks a VM suspect if it didn't answer the indirect pings either.
func (t *Tracker) advanceProbes(now time.Duration) []GossipSend {
	var sends []GossipSend
	for _, seq := range t.dueProbes(now) {
		pr := t.probes[seq]
		p := t.peers[pr.target]
		switch {
		case pr.requester != "":
			delete(t.probes, seq)
		case !pr.indirect:
			pr.indirect = true
			pr.deadline = now + AckTimeout
			p.direct = false
			sends = append(sends, t.sendPingReqs(pr.target, seq)...)
		default:
			t.dropProbe(pr.target)
			if p.state == Alive && !t.isolated(now) {
				p.state = Suspect
				p.stateSince = now
			}
		}
	}
	return sends
}

func (t *Tracker) dueProbes(now time.Duration) []uint64 {
	var due []uint64
	for seq, pr := range t.probes {
		if now+tickSlack >= pr.deadline {
			due = append(due, seq)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	return due
}

func (t *Tracker) sendPingReqs(target string, seq uint64) []GossipSend {
	var sends []GossipSend
	for _, vm := range t.pickRandom(IndirectContacts+1, func(p *peer) bool { return p.state == Alive && p.direct }) {
		if vm != target && len(sends) < IndirectContacts {
			sends = append(sends, t.send(vm, Gossip{Kind: GossipPingReq, Sequence: seq, Target: target}))
		}
	}
	return sends
}

// isolated reports whether this VM receives no messages at all; it then marks no other VM suspect
// or dead.
func (t *Tracker) isolated(now time.Duration) bool {
	return now-t.lastReceived > DirectContactWindow
}

func (t *Tracker) expireSuspects(now time.Duration) []Change {
	var changes []Change
	for _, name := range t.order {
		p := t.peers[name]
		if p.state == Suspect && now-p.stateSince >= SuspectTimeout-tickSlack && !t.isolated(now) {
			changes = append(changes, t.setState(now, name, p.incarnation, Dead)...)
		}
	}
	return changes
}

// handleAck ends a probe that was answered directly, and relays the result to the VM that
// requested it by a ping_req.
func (t *Tracker) handleAck(from string, seq uint64) []GossipSend {
	pr := t.probes[seq]
	if pr == nil || pr.target != from {
		if p := t.peers[from]; p != nil && p.state == Alive {
			t.dropProbe(from)
			p.direct = true
		}
		return nil
	}
	delete(t.probes, seq)
	if pr.requester != "" {
		return []GossipSend{t.send(pr.requester, Gossip{
			Kind: GossipRelay, Sequence: pr.requesterSequence, Target: from,
			Rumours: []Rumour{{VM: from, Incarnation: t.peers[from].incarnation, State: Alive}},
		})}
	}
	delete(t.ownProbes, from)
	t.peers[from].direct = true
	return nil
}

// handlePingReq pings a VM on behalf of another, within MaxRelays.
func (t *Tracker) handlePingReq(now time.Duration, from string, g Gossip) []GossipSend {
	if t.peers[g.Target] == nil || t.peers[from] == nil || len(t.probes)-len(t.ownProbes) >= MaxRelays {
		return nil
	}
	t.sequence++
	t.probes[t.sequence] = &probe{target: g.Target, deadline: now + AckTimeout, requester: from, requesterSequence: g.Sequence}
	return []GossipSend{t.send(g.Target, Gossip{Kind: GossipPing, Sequence: t.sequence})}
}

// handleRelay ends a probe whose target answered an indirect ping.
func (t *Tracker) handleRelay(now time.Duration, g Gossip) []Change {
	seq, busy := t.ownProbes[g.Target]
	if !busy || seq != g.Sequence {
		return nil
	}
	t.dropProbe(g.Target)
	p := t.peers[g.Target]
	if p.state != Suspect {
		return nil
	}
	return t.setState(now, g.Target, p.incarnation, Alive)
}

func (t *Tracker) dropProbe(vm string) {
	if seq, busy := t.ownProbes[vm]; busy {
		delete(t.probes, seq)
		delete(t.ownProbes, vm)
	}
	for seq, pr := range t.probes {
		if t.peers[pr.target] == nil {
			delete(t.probes, seq)
		}
	}
}
