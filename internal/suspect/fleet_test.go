package suspect

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Delays of the simulated fleet.
const (
	simTick = 100 * time.Millisecond
)

// simFleet is a fleet of arbiters in virtual time. Its messages are lost, late and out of order;
// its VMs die, restart and freeze; sides are cut off from each other. One client account sends
// one request through all VMs at once, again and again, which takes down what runs it.
type simFleet struct {
	random  *rand.Rand
	now     time.Duration
	events  []simEvent
	nodes   []*simNode
	members []Member
	runs    int
	lost    int             // upstreams
	orphans []time.Duration // of them those whose run's VM was lost: when
	cutAt   time.Duration
	healthy bool
	trace   []string
}

type simEvent struct {
	at time.Duration
	do func()
}

// simNode is a VM. start changes when it restarts.
type simNode struct {
	fleet   *simFleet
	name    string
	arbiter *Arbiter
	alive   bool
	frozen  bool
	side    int
	start   int
	diedAt  time.Duration
	seen    map[string]bool
	turning map[string]time.Duration // when the view of a VM changes
	held    []func()                 // what waits while it is frozen
	done    int                      // healthy runs of its callers
	longest time.Duration            // that one of them took
}

func newSimFleet(seed uint64, vms int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range vms {
		name := fmt.Sprint("vm", i)
		f.members = append(f.members, Member{VM: name, Zone: fmt.Sprint("zone", i%3)})
		f.nodes = append(f.nodes, &simNode{fleet: f, name: name})
	}
	for _, n := range f.nodes {
		n.boot()
	}
	return f
}

// simRank orders VMs by a hash that differs from fingerprint to fingerprint.
func simRank(key string, vms []string) []string {
	score := func(vm string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(vm + key))
		return h.Sum64() * 0x9e3779b97f4a7c15
	}
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
	return ranked
}

func (f *simFleet) say(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%8.3f ", f.now.Seconds())+fmt.Sprintf(format, args...))
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.events = append(f.events, simEvent{f.now + d, do})
}

// run lets time pass, events in the order of their times.
func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += simTick
		for {
			i := f.nextEvent()
			if i < 0 {
				break
			}
			do := f.events[i].do
			f.events = slices.Delete(f.events, i, i+1)
			do()
		}
		for _, n := range f.nodes {
			n.look()
		}
	}
}

// nextEvent returns the earliest event that is due, -1 if there is none.
func (f *simFleet) nextEvent() int {
	next := -1
	for i, e := range f.events {
		if e.at <= f.now && (next < 0 || e.at < f.events[next].at) {
			next = i
		}
	}
	return next
}

func (f *simFleet) node(vm string) *simNode {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *simNode) bool { return n.name == vm })]
}

func (f *simFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)))
}

// boot starts the VM with an empty state; it holds all others alive at first.
func (n *simNode) boot() {
	f := n.fleet
	n.alive, n.frozen = true, false
	n.start++
	n.held = nil
	n.arbiter = NewArbiter(f.now, n.name, simRank)
	n.arbiter.SetMembers(f.members)
	n.seen, n.turning = map[string]bool{}, map[string]time.Duration{}
	for _, m := range f.members {
		n.seen[m.VM] = m.VM != n.name
	}
	n.observe()
	start := n.start
	f.after(0, func() { n.round(start) })
}

func (n *simNode) reaches(o *simNode) bool { return n.alive && o.alive && n.side == o.side }

// look is the failure detector: silence is seen late, a return sooner.
func (n *simNode) look() {
	if !n.alive || n.frozen {
		return
	}
	for _, o := range n.fleet.nodes {
		actual := n.reaches(o) && !o.frozen
		if o == n || actual == n.seen[o.name] {
			delete(n.turning, o.name)
			continue
		}
		at, ok := n.turning[o.name]
		if !ok {
			at = n.fleet.now + n.fleet.between(0, time.Second)
			if !actual {
				at += 1500 * time.Millisecond
			}
			n.turning[o.name] = at
		}
		if n.fleet.now >= at {
			n.seen[o.name] = actual
		}
	}
}

func (n *simNode) others() (names []string) {
	for _, m := range n.fleet.members {
		if n.seen[m.VM] {
			names = append(names, m.VM)
		}
	}
	return names
}

func (n *simNode) observe() time.Duration {
	n.arbiter.Observe(n.fleet.now, n.others())
	return n.fleet.now
}

// when runs do on the VM, later if it is frozen, and never if it was started anew.
func (n *simNode) when(start int, do func()) {
	switch {
	case !n.alive || n.start != start:
	case n.frozen:
		n.held = append(n.held, func() { n.when(start, do) })
	default:
		do()
	}
}

// send delivers a message, if it is not lost.
func (n *simNode) send(vm string, do func(to *simNode)) {
	f := n.fleet
	to := f.node(vm)
	if f.random.IntN(20) == 0 {
		return
	}
	delay := f.between(time.Millisecond, 50*time.Millisecond)
	if f.random.IntN(20) == 0 {
		delay += f.between(0, 1500*time.Millisecond)
	}
	start := to.start
	f.after(delay, func() {
		if n.side == to.side {
			to.when(start, func() { do(to) })
		}
	})
}

// round is the guard's.
func (n *simNode) round(start int) {
	n.when(start, func() {
		now := n.observe()
		round := n.arbiter.Tick(now)
		for _, vm := range n.others() {
			n.send(vm, func(to *simNode) { to.merge(round.Struck) })
		}
		if round.Hello {
			n.hello()
		}
		for vm, held := range round.Holds {
			n.send(vm, func(to *simNode) { to.arbiter.Hold(to.fleet.now, held) })
		}
		if others := n.others(); len(others) > 0 {
			records := n.arbiter.Records(now)
			n.send(others[n.fleet.random.IntN(len(others))], func(to *simNode) { to.merge(records) })
		}
		n.fleet.after(interval, func() { n.round(start) })
	})
}

func (n *simNode) hello() {
	for _, vm := range n.others() {
		n.send(vm, func(to *simNode) {
			to.arbiter.Greet(n.name, fmt.Sprint(n.start))
			state := to.arbiter.Snapshot(to.fleet.now)
			to.send(n.name, func(*simNode) { n.arbiter.Learn(n.fleet.now, state) })
		})
	}
}

func (n *simNode) merge(records []Record) {
	for _, rec := range records {
		n.arbiter.Merge(n.fleet.now, rec)
	}
}

// simCall is a caller that sends the request through one VM, one run after another.
type simCall struct {
	node    *simNode
	start   int
	ask     Ask
	owner   string
	begun   time.Duration
	asked   time.Duration
	retries int
}

func (n *simNode) call() {
	c := &simCall{node: n, start: n.start, begun: n.fleet.now}
	n.when(c.start, c.try)
}

func (c *simCall) after(d time.Duration, do func()) {
	c.node.fleet.after(d, func() { c.node.when(c.start, do) })
}

func (c *simCall) try() {
	n := c.node
	now := n.observe()
	if n.arbiter.TurnsAway(now, print1) {
		return
	}
	owner := n.arbiter.Owner(print1)
	if c.ask.Run != "" && owner != c.owner {
		c.withdraw()
	}
	if c.ask.Run == "" {
		n.fleet.runs++
		c.ask = Ask{Fingerprint: print1, Run: fmt.Sprint("run", n.fleet.runs), VM: n.name, Start: fmt.Sprint(n.start)}
	}
	c.asked = now
	c.ask.Known = n.arbiter.Known(now, print1)
	c.owner = owner
	answered := false
	ask := c.ask
	reply := func(v Verdict) {
		if !answered && c.node.start == c.start {
			answered = true
			c.verdict(ask, v)
		}
	}
	if owner == n.name {
		n.decide(ask, reply)
		return
	}
	n.send(owner, func(to *simNode) {
		to.decide(ask, func(v Verdict) {
			to.send(n.name, func(*simNode) { reply(v) })
		})
	})
	c.after(askTimeout, func() {
		if !answered {
			answered = true
			c.try()
		}
	})
}

func (c *simCall) withdraw() {
	end := End{Fingerprint: print1, Run: c.ask.Run, Outcome: Unproven}
	c.node.arbiter.Forget(end)
	c.node.send(c.owner, func(to *simNode) { to.take(end) })
	c.ask.Run = ""
}

func (c *simCall) verdict(ask Ask, v Verdict) {
	n := c.node
	pause := n.fleet.between(10*time.Millisecond, 500*time.Millisecond)
	switch v.State {
	case Go:
		n.observe()
		if n.arbiter.Accept(c.asked, ask, v) {
			given := c.asked
			c.after(n.fleet.between(0, 300*time.Millisecond), func() { c.run(ask, v, given) })
			return
		}
		c.withdraw()
	case Quarantined:
		return
	case CutOff:
		pause += time.Second // the caller sends it again
		c.ask.Run = ""
	default:
		c.ask.Run = ""
	}
	c.after(pause, c.try)
}

// run is the run at an upstream, which the VM sees the end of unless it dies before.
func (c *simCall) run(ask Ask, v Verdict, given time.Duration) {
	n, f := c.node, c.node.fleet
	if !n.arbiter.IsValid(f.now, given, print1, v) {
		c.end(ask, v, Unproven)
		c.after(0, c.try)
		return
	}
	f.say("%s runs %s for %s, strikes %d", n.name, ask.Run, c.owner, v.Strikes)
	f.after(f.between(50*time.Millisecond, 3*time.Second), func() {
		outcome := Succeeded
		if f.healthy {
			n.done++
			n.longest = max(n.longest, f.now-c.begun)
		} else {
			outcome = Lost
			f.lost++
			if n.start != c.start {
				f.orphans = append(f.orphans, n.diedAt)
			}
			f.say("%s lost its upstream", ask.Run)
		}
		n.when(c.start, func() {
			c.end(ask, v, outcome)
			if outcome == Lost && c.retries < 2 {
				c.retries++
				c.try()
			}
		})
	})
}

func (c *simCall) end(ask Ask, v Verdict, outcome Outcome) {
	n := c.node
	end := End{Fingerprint: print1, Run: ask.Run, Outcome: outcome, Upstream: "of " + ask.Run, Strikes: v.Strikes}
	c.ask.Run = ""
	if outcome == Lost || c.owner == n.name {
		n.take(end)
	} else {
		n.arbiter.Forget(end)
	}
	if c.owner != n.name {
		n.send(c.owner, func(to *simNode) { to.take(end) })
	}
}

// take is the guard's.
func (n *simNode) take(end End) {
	ended := n.arbiter.End(n.fleet.now, end)
	for _, vm := range ended.Voters {
		n.send(vm, func(to *simNode) { to.arbiter.Release(Ask{Fingerprint: print1, Run: end.Run}) })
	}
	if ended.Changed {
		for _, vm := range n.others() {
			n.send(vm, func(to *simNode) { to.merge([]Record{ended.Record}) })
		}
	}
}

// decide is the guard's.
func (n *simNode) decide(ask Ask, reply func(Verdict)) {
	v, poll := n.arbiter.Ask(n.observe(), ask)
	if poll == nil {
		reply(v)
		return
	}
	ballots := map[string]Ballot{}
	concluded := false
	conclude := func() {
		if concluded {
			return
		}
		concluded = true
		v := n.arbiter.Conclude(n.observe(), *poll, ballots)
		if v.State != Go {
			for _, vm := range poll.Voters {
				n.send(vm, func(to *simNode) { to.arbiter.Release(ask) })
			}
		}
		reply(v)
	}
	for _, vm := range poll.Voters {
		n.send(vm, func(to *simNode) {
			b := to.arbiter.Vote(to.observe(), *poll)
			to.send(n.name, func(*simNode) {
				ballots[vm] = b
				if len(ballots) == len(poll.Voters) {
					conclude()
				}
			})
		})
	}
	start := n.start
	n.fleet.after(pollTimeout, func() { n.when(start, conclude) })
}
