package balance

import (
	"math"
	"time"
)

// FleetLoad describes an upstream as all entry VMs together see it.
type FleetLoad struct {
	Known bool // there is a fresh view
	// Others is the number of requests of other VMs that were in flight when the view was taken.
	Others int
	// Age is the age of the view.
	Age time.Duration
	// Slowness is the time between the upstream's events, relative to that of an idle upstream, over all VMs; 0
	// without recent samples.
	Slowness float64
	// FailureShare is the share of the attempts of the last second that failed, 0 to 1.
	FailureShare float64
}

// Origin is a zone whose VMs send requests, with the attempts that they make in a second.
type Origin struct {
	Zone      string
	PerSecond float64
}

const (
	// sharingCost is the share by which each request that runs beside it slows a request down while slots are free.
	sharingCost = 0.02
	// queueCostFactor weighs the queue that a new program meets: all its turns join it, and those behind them wait for
	// it as well. With 1, programs queue at fast upstreams while slots of slow ones are free: 0.17 of the programs were
	// in time in bursts on upstreams of uneven speed, 0.32 with 4 (docs/scheduling.md).
	queueCostFactor = 4
	// leaveHomeFactor multiplies the gain of the home while the load of all VMs is known. With 1, turns moved to faster
	// upstreams, where reading their prompts took more capacity than they had: 0.32 in time in these bursts, 0.56 with 2.
	leaveHomeFactor = 2
	// movableShare is the share of attempts that may go to any upstream: first turns of programs, about one in seven,
	// and turns that leave a busy home. The rest goes to the upstreams that hold their prompts, and is part of the view.
	movableShare = 0.25
	// maxPlacements bounds the work of one decision.
	maxPlacements = 128
	// minIdleView is the age that is assumed at least: reports wait for the next round before they are summed up.
	minIdleView = 50 * time.Millisecond
)

// hasFleetLoad reports whether a decision can be based on the load that all VMs cause.
func hasFleetLoad(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Fleet.Known {
			return true
		}
	}
	return false
}

// pickShared returns the index of the candidate for a request, from the load that all VMs cause; -1 if none is left.
//
// Many VMs decide on the same view. If each took the upstream that was best in it, all would take the same one. So each
// VM simulates the placement of all requests that VMs may move before the next view, one after the other on the upstream
// with the lowest cost by then, and takes the upstream of one of those placements at random: the VMs together make about
// these placements. Requests of other zones are placed as well, each from its own zone, so that zones share what one of
// them has left and don't exchange load.
func pickShared(candidates []Candidate, r Request) int {
	p := newPlacer(candidates, r)
	other, load := p.draw()
	if other < 0 {
		return -1
	}
	home := knownHome(candidates, r.Home)
	if home < 0 && !r.New {
		home = hashHome(candidates, r.Affinity)
	}
	if r.Affinity == "" || home < 0 || candidates[home].Tried || home == other {
		return other
	}
	gain := leaveHomeFactor * r.AffinityGain
	if r.New {
		gain = 0
	} else if candidates[other].Limited {
		gain = r.OwnGain
	}
	if p.cost(home, p.seen[home])+p.zoneCost(home, r.Zone) <= p.cost(other, load)+p.zoneCost(other, r.Zone)+gain {
		return home
	}
	return other
}

// placer simulates the placement of the requests that all VMs may move until the next view.
type placer struct {
	candidates []Candidate
	request    Request
	seen       []float64 // requests in flight by candidate
	deviation  []float64 // standard deviation of seen, since the view has an age
}

func newPlacer(candidates []Candidate, r Request) *placer {
	p := &placer{candidates: candidates, request: r, seen: make([]float64, len(candidates)), deviation: make([]float64, len(candidates))}
	for i := range candidates {
		c := &candidates[i]
		p.seen[i] = float64(c.Inflight + c.Fleet.Others)
		// Requests that ended and began since then: as many of each, which are independent of each other.
		running := float64(min(c.Fleet.Others, max(c.Slots, 1)))
		ended := running * -math.Expm1(-float64(max(c.Fleet.Age, minIdleView))/float64(max(p.duration(i), time.Millisecond)))
		p.deviation[i] = math.Sqrt(2 * ended)
	}
	return p
}

// duration returns the expected time of the request on a candidate without queue.
func (p *placer) duration(i int) time.Duration {
	c := &p.candidates[i]
	slowness := c.Fleet.Slowness
	if slowness == 0 {
		slowness = c.Slowness
	}
	return time.Duration(float64(p.request.Service) * max(slowness, 0.1))
}

// zoneCost returns the cost of a candidate for a request that arrived in a zone, besides cost.
func (p *placer) zoneCost(i int, zone string) time.Duration {
	if p.candidates[i].Zone == zone {
		return 0
	}
	return p.request.LeaveZone
}

// cost returns the expected time of a request on a candidate with a number of requests in flight before it.
func (p *placer) cost(i int, inflight float64) time.Duration {
	c := &p.candidates[i]
	slots := float64(max(c.Slots, 1))
	duration := float64(p.duration(i))
	factor := 1.0
	if p.request.New {
		factor = queueCostFactor
	}
	cost := duration * (1 + sharingCost*min(inflight, slots))
	cost += factor * duration / slots * expectedExcess(inflight+1-slots, p.deviation[i])
	cost += c.Fleet.FailureShare * float64(failingCost)
	if c.Failing {
		cost += float64(failingCost)
	}
	if c.Unconfirmed {
		cost += float64(unconfirmedCost)
	}
	return time.Duration(cost)
}

// expectedExcess returns the mean of max(0, x) for a normally distributed x.
func expectedExcess(mean, deviation float64) float64 {
	if deviation == 0 {
		return max(0, mean)
	}
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return mean*(1+math.Erf(z/math.Sqrt2))/2 + deviation*density
}

// draw returns a random placement of the VM's own zone, and the number of requests in flight there before it.
func (p *placer) draw() (candidate int, inflight float64) {
	origins, total := p.origins()
	steps := int(total)
	load := append([]float64(nil), p.seen...)
	costs := make([]time.Duration, len(load))
	for i := range costs {
		costs[i] = p.cost(i, load[i]) + p.tieBreak(i)
	}
	due := make([]float64, len(origins))
	type placement struct {
		candidate int
		inflight  float64
	}
	var own []placement
	for step := range steps + 1 {
		zone := p.request.Zone
		if step < steps {
			zone = nextOrigin(origins, due, total)
		}
		best := p.best(costs, zone)
		if best < 0 {
			return -1, 0
		}
		if zone == p.request.Zone {
			own = append(own, placement{best, load[best]})
		}
		load[best]++
		costs[best] = p.cost(best, load[best]) + p.tieBreak(best)
	}
	if len(own) > 1 {
		own = own[:len(own)-1] // the last one is for zones from which no requests are expected
	}
	// The tie-breaks use the draw as it is: another digit of it is independent of them.
	_, second := math.Modf(p.request.Draw * 7919)
	chosen := own[int(second*float64(len(own)))]
	return chosen.candidate, chosen.inflight
}

// origins returns the requests that each zone may move until the next view, and their sum.
func (p *placer) origins() ([]Origin, float64) {
	age := minIdleView
	for i := range p.candidates {
		age = max(age, p.candidates[i].Fleet.Age)
	}
	origins, total := make([]Origin, len(p.request.Origins)), 0.0
	for i, o := range p.request.Origins {
		origins[i] = Origin{Zone: o.Zone, PerSecond: o.PerSecond * movableShare * age.Seconds()}
		total += origins[i].PerSecond
	}
	if total > maxPlacements {
		for i := range origins {
			origins[i].PerSecond *= maxPlacements / total
		}
		total = maxPlacements
	}
	return origins, total
}

// nextOrigin returns the zone of the next request, so that zones alternate in proportion to their requests.
func nextOrigin(origins []Origin, due []float64, total float64) string {
	next := 0
	for i := range origins {
		due[i] += origins[i].PerSecond / total
		if due[i] > due[next] {
			next = i
		}
	}
	due[next]--
	return origins[next].Zone
}

// best returns the candidate with the lowest cost for a request from a zone, -1 if none is left.
func (p *placer) best(costs []time.Duration, zone string) int {
	best, bestCost := -1, time.Duration(0)
	for i := range p.candidates {
		if p.candidates[i].Tried {
			continue
		}
		if cost := costs[i] + p.zoneCost(i, zone); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (p *placer) tieBreak(i int) time.Duration {
	return time.Duration(jitter(p.request.Draw, i) * float64(maxTieBreak))
}

// LeaveZoneCost returns the cost of an upstream in another zone, for a request and those that follow it there. latency is
// the network's round trip, bytes the size of a request with its answer, and perMegabyte the time of callers that 10^6 bytes
// between zones are worth. Events follow each other without waiting, so the latency counts once for each request.
func LeaveZoneCost(latency time.Duration, bytes int, perMegabyte time.Duration, requests int) time.Duration {
	return time.Duration(requests) * (latency + time.Duration(float64(bytes)/1e6*float64(perMegabyte)))
}
