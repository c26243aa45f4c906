package suspect

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/clock"
	"egretramp/internal/events"
	"egretramp/internal/message"
)

// Call methods and message kinds between VMs.
const (
	MethodAsk   = "suspect.ask"
	MethodEnd   = "suspect.end" // end of a run whose upstream was lost
	MethodPoll  = "suspect.poll"
	KindEnd     = "suspect.ended"
	KindHold    = "suspect.hold"
	KindRelease = "suspect.release"
	KindRecords = "suspect.records"
	KindHello   = "suspect.hello"
	KindState   = "suspect.state" // response to KindHello
)

// Timing of a guard.
const (
	// requestTimeout leaves time for the owner's poll. If the owner was lost, the VM detects it between
	// two requests.
	requestTimeout = 500 * time.Millisecond
	pollTimeout    = 350 * time.Millisecond
	endTimeout     = time.Second
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	interval       = time.Second
	// maxPolls limits the concurrent polls of a VM.
	maxPolls = 64
)

// Network sends messages and calls to other VMs.
type Network interface {
	Send(vm, kind string, payload []byte)
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}

// Options configure a Guard.
type Options struct {
	VM      string
	Network Network
	// Others returns the other VMs that are alive.
	Others func() []string
	// Members returns the membership: the VMs that may decide and run requests.
	Members func() []Member
	Rank    RankFunc
	Events  *events.Logger
	Clock   func() time.Duration // default clock.Now
}

// Errors of Enter. No byte of the request was sent to an upstream.
var (
	ErrQuarantined = errors.New("the request is quarantined")
	ErrWaited      = errors.New("the same request was under way for too long")
	ErrCutOff      = errors.New("an upstream was lost to the request, and zones that may have lost another one are out of reach")
)

// Stats counts the guard's decisions and events.
type Stats struct {
	Asked       atomic.Int64
	Waited      atomic.Int64
	Quarantined atomic.Int64
	CutOff      atomic.Int64
	Polls       atomic.Int64
	Beyond      atomic.Int64
	Strikes     atomic.Int64
}

// Guard applies the rules of this package on one VM. It connects the VM's Arbiter with those of the
// other VMs.
type Guard struct {
	opts  Options
	stats Stats

	start string // identifies this process

	mu      sync.Mutex
	arbiter *Arbiter
	polls   int // in progress
	rounds  int
}

// NewGuard returns a guard. Run has to be called to send its soft state to other VMs.
func NewGuard(opts Options) *Guard {
	if opts.Clock == nil {
		opts.Clock = clock.Now
	}
	g := &Guard{opts: opts, start: rand.Text(), arbiter: NewArbiter(opts.Clock(), opts.VM, opts.Rank)}
	g.observe()
	g.arbiter.SetMembers(opts.Members())
	return g
}

// observe updates the arbiter's view and returns the current time. g.mu must be held.
func (g *Guard) observe() time.Duration {
	now := g.opts.Clock()
	g.arbiter.Observe(now, g.opts.Others())
	return now
}

// Stats returns the counters.
func (g *Guard) Stats() *Stats { return &g.stats }

// decide answers a run request as the fingerprint's owner, polling other VMs if necessary.
func (g *Guard) decide(ctx context.Context, req RunRequest) Verdict {
	g.mu.Lock()
	now := g.observe()
	if g.polls >= maxPolls {
		g.mu.Unlock()
		return Verdict{State: Wait}
	}
	v, poll := g.arbiter.Admit(now, req)
	if poll == nil {
		g.mu.Unlock()
		return v
	}
	g.polls++
	g.mu.Unlock()
	ballots := g.poll(ctx, *poll)
	g.mu.Lock()
	g.polls--
	v = g.arbiter.Conclude(g.observe(), *poll, ballots)
	g.mu.Unlock()
	if v.State != Go {
		g.sendTo(poll.Voters, KindRelease, req)
	}
	return v
}

// poll sends a poll to its voters and returns the ballots that arrive within pollTimeout.
func (g *Guard) poll(ctx context.Context, p Poll) map[string]Ballot {
	g.stats.Polls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	payload := message.Encode(p)
	var mu sync.Mutex
	ballots := map[string]Ballot{}
	var wg conc.WaitGroup
	for _, vm := range p.Voters {
		wg.Go(func() {
			var b Ballot
			data, err := g.opts.Network.Call(ctx, vm, MethodPoll, payload)
			if err != nil || json.Unmarshal(data, &b) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ballots[vm] = b
		})
	}
	wg.Wait()
	return ballots
}

func (g *Guard) sendTo(vms []string, kind string, m any) {
	payload := message.Encode(m)
	for _, vm := range vms {
		g.opts.Network.Send(vm, kind, payload)
	}
}

// recordEnd records the end of a run, releases it at its voters, and sends a changed record to all VMs.
func (g *Guard) recordEnd(end End) {
	g.mu.Lock()
	ended := g.arbiter.End(g.opts.Clock(), end)
	g.mu.Unlock()
	g.sendTo(ended.Voters, KindRelease, RunRequest{Fingerprint: end.Fingerprint, Run: end.Run})
	if ended.ExceedsMaxLost {
		g.stats.Beyond.Add(1)
		g.opts.Events.Emit(events.RequestExceeded, zap.String("request", ended.Record.Subject),
			zap.String("fingerprint", string(end.Fingerprint)), zap.String("upstream", end.Upstream))
	}
	if !ended.Changed {
		return
	}
	if len(ended.Record.Struck) > 0 {
		g.reportStrike(ended.Record)
	}
	g.sendTo(g.opts.Others(), KindRecords, []Record{ended.Record})
}

func (g *Guard) reportStrike(rec Record) {
	g.stats.Strikes.Add(1)
	event := events.RequestUpstreamLost
	if rec.Quarantined() {
		event = events.RequestQuarantined
	}
	var upstreams []string
	for _, s := range rec.Struck {
		upstreams = append(upstreams, s.displayName())
	}
	g.opts.Events.Emit(event, zap.String("request", rec.Subject),
		zap.String("fingerprint", string(rec.Fingerprint)), zap.Strings("upstreams", upstreams))
}

// Run repeats the runs in progress to their owners, and the records to one other VM per interval in
// turn, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	g.round()
	clock.Repeat(ctx, interval, g.round)
}

func (g *Guard) round() {
	g.mu.Lock()
	now := g.observe()
	g.arbiter.SetMembers(g.opts.Members())
	sends := g.arbiter.Tick(now)
	records := g.arbiter.Records(now)
	g.rounds++
	round := g.rounds
	g.mu.Unlock()
	for _, rec := range sends.Struck {
		g.reportStrike(rec)
		g.sendTo(g.opts.Others(), KindRecords, []Record{rec})
	}
	if sends.RequestSnapshots {
		g.sendTo(g.opts.Others(), KindHello, hello{Start: g.start})
	}
	for vm, held := range sends.Holds {
		g.opts.Network.Send(vm, KindHold, message.Encode(held))
	}
	others := slices.Sorted(slices.Values(g.opts.Others()))
	if len(records) > 0 && len(others) > 0 {
		g.opts.Network.Send(others[round%len(others)], KindRecords, message.Encode(records))
	}
}

// Records returns the records that have not expired, for the state dump.
func (g *Guard) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arbiter.Records(g.opts.Clock())
}
