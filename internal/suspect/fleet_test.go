package suspect

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// simTick is the time step of the simulated fleet.
	simTick = 100 * time.Millisecond
)

// simFleet simulates a fleet of arbiters in virtual time. Messages are lost, delayed and reordered;
// VMs die, restart and freeze; the network is partitioned. One client account repeatedly sends one
// request through all VMs concurrently, which crashes its upstreams unless healthy is set.
type simFleet struct {
	random        *rand.Rand
	now           time.Duration
	events        []simEvent
	nodes         []*simNode
	members       []Member
	runs          int
	lost          int             // number of lost upstreams
	orphanedAt    []time.Duration // times at which VMs died during runs that lost their upstream
	partitionedAt time.Duration
	healthy       bool
	trace         []string
}

type simEvent struct {
	at time.Duration
	do func()
}

// simNode is a simulated VM. start changes when it restarts.
type simNode struct {
	fleet     *simFleet
	name      string
	arbiter   *Arbiter
	alive     bool
	frozen    bool
	side      int
	start     int
	diedAt    time.Duration
	visible   map[string]bool
	changesAt map[string]time.Duration // when a changed state of a VM is detected
	held      []func()                 // events deferred while the VM is frozen
	done      int                      // completed healthy runs of its callers
	longest   time.Duration            // longest duration of one of them
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

// simRank orders VMs by a hash of the VM and the key.
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

func (f *simFleet) tracef(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%8.3f ", f.now.Seconds())+fmt.Sprintf(format, args...))
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.events = append(f.events, simEvent{f.now + d, do})
}

// run advances the time and executes due events in the order of their times.
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
			n.detectFailures()
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

// boot starts the VM with an empty state; at first it considers all other VMs alive.
func (n *simNode) boot() {
	f := n.fleet
	n.alive, n.frozen = true, false
	n.start++
	n.held = nil
	n.arbiter = NewArbiter(f.now, n.name, simRank)
	n.arbiter.SetMembers(f.members)
	n.visible, n.changesAt = map[string]bool{}, map[string]time.Duration{}
	for _, m := range f.members {
		n.visible[m.VM] = m.VM != n.name
	}
	n.observe()
	start := n.start
	f.after(0, func() { n.round(start) })
}

func (n *simNode) canReach(o *simNode) bool { return n.alive && o.alive && n.side == o.side }

// detectFailures simulates the failure detector. It detects a failure within 1.5 to 2.5 s and a
// recovery within 1 s.
func (n *simNode) detectFailures() {
	if !n.alive || n.frozen {
		return
	}
	for _, o := range n.fleet.nodes {
		actual := n.canReach(o) && !o.frozen
		if o == n || actual == n.visible[o.name] {
			delete(n.changesAt, o.name)
			continue
		}
		at, ok := n.changesAt[o.name]
		if !ok {
			at = n.fleet.now + n.fleet.between(0, time.Second)
			if !actual {
				at += 1500 * time.Millisecond
			}
			n.changesAt[o.name] = at
		}
		if n.fleet.now >= at {
			n.visible[o.name] = actual
		}
	}
}

func (n *simNode) others() (names []string) {
	for _, m := range n.fleet.members {
		if n.visible[m.VM] {
			names = append(names, m.VM)
		}
	}
	return names
}

func (n *simNode) observe() time.Duration {
	n.arbiter.Observe(n.fleet.now, n.others())
	return n.fleet.now
}

// runWhenActive executes do on the VM, after the freeze if it is frozen, and not at all if it is dead
// or has been restarted.
func (n *simNode) runWhenActive(start int, do func()) {
	switch {
	case !n.alive || n.start != start:
	case n.frozen:
		n.held = append(n.held, func() { n.runWhenActive(start, do) })
	default:
		do()
	}
}

// send delivers a message after a random delay. It may be lost.
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
			to.runWhenActive(start, func() { do(to) })
		}
	})
}

// round does what Guard.round does.
func (n *simNode) round(start int) {
	n.runWhenActive(start, func() {
		now := n.observe()
		round := n.arbiter.Tick(now)
		for _, vm := range n.others() {
			n.send(vm, func(to *simNode) { to.merge(round.Struck) })
		}
		if round.RequestSnapshots {
			n.requestSnapshots()
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

func (n *simNode) requestSnapshots() {
	for _, vm := range n.others() {
		n.send(vm, func(to *simNode) {
			to.arbiter.NoteStart(n.name, fmt.Sprint(n.start))
			state := to.arbiter.Snapshot(to.fleet.now)
			to.send(n.name, func(*simNode) { n.arbiter.MergeSnapshot(n.fleet.now, state) })
		})
	}
}

func (n *simNode) merge(records []Record) {
	for _, rec := range records {
		n.arbiter.Merge(n.fleet.now, rec)
	}
}

// simCall is a caller that sends the request through one VM, with one run after another.
type simCall struct {
	node        *simNode
	start       int
	request     RunRequest
	owner       string
	startedAt   time.Duration
	requestedAt time.Duration
	retries     int
}

func (n *simNode) call() {
	c := &simCall{node: n, start: n.start, startedAt: n.fleet.now}
	n.runWhenActive(c.start, c.try)
}

func (c *simCall) after(d time.Duration, do func()) {
	c.node.fleet.after(d, func() { c.node.runWhenActive(c.start, do) })
}

func (c *simCall) try() {
	n := c.node
	now := n.observe()
	if n.arbiter.Rejects(now, fp1) {
		return
	}
	owner := n.arbiter.Owner(fp1)
	if c.request.Run != "" && owner != c.owner {
		c.withdraw()
	}
	if c.request.Run == "" {
		n.fleet.runs++
		c.request = RunRequest{Fingerprint: fp1, Run: fmt.Sprint("run", n.fleet.runs), VM: n.name, Start: fmt.Sprint(n.start)}
	}
	c.requestedAt = now
	c.request.Known = n.arbiter.Known(now, fp1)
	c.owner = owner
	answered := false
	req := c.request
	reply := func(v Verdict) {
		if !answered && c.node.start == c.start {
			answered = true
			c.verdict(req, v)
		}
	}
	if owner == n.name {
		n.decide(req, reply)
		return
	}
	n.send(owner, func(to *simNode) {
		to.decide(req, func(v Verdict) {
			to.send(n.name, func(*simNode) { reply(v) })
		})
	})
	c.after(requestTimeout, func() {
		if !answered {
			answered = true
			c.try()
		}
	})
}

func (c *simCall) withdraw() {
	end := End{Fingerprint: fp1, Run: c.request.Run, Outcome: Unproven}
	c.node.arbiter.Forget(end)
	c.node.send(c.owner, func(to *simNode) { to.recordEnd(end) })
	c.request.Run = ""
}

func (c *simCall) verdict(req RunRequest, v Verdict) {
	n := c.node
	pause := n.fleet.between(10*time.Millisecond, 500*time.Millisecond)
	switch v.State {
	case Go:
		n.observe()
		if n.arbiter.Accept(c.requestedAt, req, v) {
			requestedAt := c.requestedAt
			c.after(n.fleet.between(0, 300*time.Millisecond), func() { c.run(req, v, requestedAt) })
			return
		}
		c.withdraw()
	case Quarantined:
		return
	case CutOff:
		pause += time.Second // the caller retries
		c.request.Run = ""
	default:
		c.request.Run = ""
	}
	c.after(pause, c.try)
}

// run simulates the run at an upstream. The VM observes its end unless it dies before.
func (c *simCall) run(req RunRequest, v Verdict, requestedAt time.Duration) {
	n, f := c.node, c.node.fleet
	if !n.arbiter.IsValid(f.now, requestedAt, fp1, v) {
		c.end(req, v, Unproven)
		c.after(0, c.try)
		return
	}
	f.tracef("%s runs %s for %s, strikes %d", n.name, req.Run, c.owner, v.Strikes)
	f.after(f.between(50*time.Millisecond, 3*time.Second), func() {
		outcome := Succeeded
		if f.healthy {
			n.done++
			n.longest = max(n.longest, f.now-c.startedAt)
		} else {
			outcome = Lost
			f.lost++
			if n.start != c.start {
				f.orphanedAt = append(f.orphanedAt, n.diedAt)
			}
			f.tracef("%s lost its upstream", req.Run)
		}
		n.runWhenActive(c.start, func() {
			c.end(req, v, outcome)
			if outcome == Lost && c.retries < 2 {
				c.retries++
				c.try()
			}
		})
	})
}

func (c *simCall) end(req RunRequest, v Verdict, outcome Outcome) {
	n := c.node
	end := End{Fingerprint: fp1, Run: req.Run, Outcome: outcome, Upstream: "of " + req.Run, Strikes: v.Strikes}
	c.request.Run = ""
	if outcome == Lost || c.owner == n.name {
		n.recordEnd(end)
	} else {
		n.arbiter.Forget(end)
	}
	if c.owner != n.name {
		n.send(c.owner, func(to *simNode) { to.recordEnd(end) })
	}
}

// recordEnd does what Guard.recordEnd does.
func (n *simNode) recordEnd(end End) {
	ended := n.arbiter.End(n.fleet.now, end)
	for _, vm := range ended.Voters {
		n.send(vm, func(to *simNode) { to.arbiter.Release(RunRequest{Fingerprint: fp1, Run: end.Run}) })
	}
	if ended.Changed {
		for _, vm := range n.others() {
			n.send(vm, func(to *simNode) { to.merge([]Record{ended.Record}) })
		}
	}
}

// decide does what Guard.decide does.
func (n *simNode) decide(req RunRequest, reply func(Verdict)) {
	v, poll := n.arbiter.Admit(n.observe(), req)
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
				n.send(vm, func(to *simNode) { to.arbiter.Release(req) })
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
	n.fleet.after(pollTimeout, func() { n.runWhenActive(start, conclude) })
}
