package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/membership"
	"egretramp/internal/message"
)

const (
	benchZones       = 12
	benchIncarnation = 1_700_000_000_000_000_000
	benchControlVMs  = 8
	// benchWarmUp is the virtual time before the measurement in which the initial state is replicated.
	// Seconds.
	benchWarmUp = 60
)

// benchNet runs one real Fleet in virtual time. The other VMs are simulated: they ping, request leases
// and answer.
type benchNet struct {
	b             *testing.B
	fleet         *Fleet
	names         []string
	grantor       *membership.Grantor // of the simulated leader; nil if the Fleet is the leader
	now           time.Duration
	sent          map[string]*traffic
	received      map[string]*traffic
	pendingEvents []func()
	lastRenew     map[string]*membership.RenewRequest // next lease request of each simulated VM
}

type traffic struct{ messages, bytes int }

func (t *traffic) add(payload []byte) {
	t.messages++
	t.bytes += len(payload)
}

// Leads implements Leader; the term is always 1.
func (n *benchNet) Leads() (uint64, bool) { return 1, n.grantor == nil }

// ReadIndex implements Leader. It confirms immediately.
func (n *benchNet) ReadIndex(context.Context) error { return nil }

// Propose implements Proposer. It always fails.
func (n *benchNet) Propose(context.Context, control.Command) (control.Result, error) {
	return control.Result{}, ErrStopped
}

// Call implements Network. It always fails.
func (n *benchNet) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, ErrStopped
}

// Send implements Network. It counts the message and lets the simulated VM handle it.
func (n *benchNet) Send(vm, kind string, payload []byte) {
	n.sent[kind].add(payload)
	if kind == KindGossip {
		n.answerGossip(vm, payload)
	}
	if kind == KindLease {
		n.recordAnswer(vm, payload)
	}
	if kind == KindRenew && vm == n.names[1] && n.grantor != nil {
		n.answerRenew(vm, payload)
	}
}

func (n *benchNet) answerGossip(vm string, payload []byte) {
	var g membership.Gossip
	require.NoError(n.b, json.Unmarshal(payload, &g))
	if g.Kind != membership.GossipPing {
		return
	}
	n.deliver(vm, KindGossip, membership.Gossip{
		Kind: membership.GossipAck, Incarnation: benchIncarnation, Sequence: g.Sequence, Digest: n.fleet.digestHash(),
	})
}

// recordAnswer handles an answer to a simulated VM's lease request as a Holder does.
func (n *benchNet) recordAnswer(vm string, payload []byte) {
	var m membership.LeaseMessage
	require.NoError(n.b, json.Unmarshal(payload, &m))
	known := n.lastRenew[vm]
	if known == nil || m.Answer == nil {
		return
	}
	if known.Deny.Less(m.Answer.Deny.Version) {
		known.Deny = m.Answer.Deny.Version
	}
	known.Settled.ZoneEpoch = max(known.Settled.ZoneEpoch, m.Answer.Settled.ZoneEpoch)
	known.Settled.AgreedSplit = max(known.Settled.AgreedSplit, m.Answer.Settled.AgreedSplit)
}

func (n *benchNet) answerRenew(vm string, payload []byte) {
	var m membership.LeaseMessage
	require.NoError(n.b, json.Unmarshal(payload, &m))
	answer := n.grantor.Renew(n.now, *m.Renew)
	n.deliver(vm, KindLease, membership.LeaseMessage{Answer: &answer})
}

// deliver queues a message from a simulated VM for the Fleet. runPending delivers it after the current
// event.
func (n *benchNet) deliver(from, kind string, m any) {
	payload := message.Encode(m)
	n.received[kind].add(payload)
	handle := map[string]func(string, []byte){
		KindGossip: n.fleet.HandleGossip, KindLease: n.fleet.HandleLease, KindRenew: n.fleet.HandleRenew,
	}[kind]
	n.pendingEvents = append(n.pendingEvents, func() { handle(from, payload) })
}

// runPending runs all queued events of the simulated VMs and of the Fleet.
func (n *benchNet) runPending() {
	for len(n.pendingEvents) > 0 || len(n.fleet.events) > 0 {
		waiting := n.pendingEvents
		n.pendingEvents = nil
		for _, answer := range waiting {
			answer()
		}
		for len(n.fleet.events) > 0 {
			(<-n.fleet.events)()
		}
	}
}

func newBenchNet(b *testing.B, vms int, leads bool) *benchNet {
	n := &benchNet{b: b, sent: map[string]*traffic{}, received: map[string]*traffic{}, lastRenew: map[string]*membership.RenewRequest{}}
	for _, kind := range []string{KindGossip, KindLease, KindRenew, KindLimit, KindDigest} {
		n.sent[kind], n.received[kind] = &traffic{}, &traffic{}
	}
	members := control.Members{Epoch: 1}
	var known []membership.VM
	for i := range vms {
		vm := control.VM{VM: fmt.Sprintf("region-zone%02d-vm%03d", i%benchZones, i), Zone: fmt.Sprintf("region-zone%02d", i%benchZones), Incarnation: benchIncarnation}
		members.VMs = append(members.VMs, vm)
		known = append(known, membership.VM{Name: vm.VM, Zone: vm.Zone})
		n.names = append(n.names, vm.VM)
	}
	opts := Options{
		VM: n.names[0], Zone: members.VMs[0].Zone, Incarnation: benchIncarnation, VMs: known,
		ControlVMs: n.names[1 : 1+benchControlVMs], Network: n, Proposer: n,
		Events: events.FromZap(zap.NewNop()), Clock: func() time.Duration { return n.now },
	}
	if leads {
		opts.Leader = n
		opts.ControlVMs = n.names[:benchControlVMs]
	} else {
		n.grantor = membership.NewGrantor(0, 1, time.Hour)
		n.grantor.SetView(epochOf(members), 0, 0, 0)
	}
	n.fleet = New(opts)
	n.fleet.ctx, n.fleet.tasks = b.Context(), &conc.WaitGroup{}
	n.fleet.offer(control.Delta{Members: &members, Splits: &control.Splits{Revision: 1, Epoch: 1}})
	n.runPending()
	return n
}

// runSecond advances virtual time by one second.
func (n *benchNet) runSecond() {
	for end := n.now + time.Second; n.now < end; n.now += tickInterval {
		n.fleet.tick()
		n.runPending()
		if n.now%membership.RoundInterval == 0 {
			n.sendPings()
		}
		if n.grantor == nil && n.now%membership.RenewInterval == 0 {
			n.sendRenewals()
		}
		n.fleet.tasks.Wait()
		n.runPending()
	}
}

// sendPings sends a ping from as many simulated VMs as the Fleet pings itself.
func (n *benchNet) sendPings() {
	step := max(1, (len(n.names)-1)/membership.MaxContacts)
	for i := range min(membership.MaxContacts, len(n.names)-1) {
		n.deliver(n.names[1+i*step], KindGossip, membership.Gossip{
			Kind: membership.GossipPing, Incarnation: benchIncarnation, Sequence: 1_000_000, Digest: n.fleet.digestHash(),
		})
	}
	n.runPending()
}

// sendRenewals sends a lease request from every simulated VM to the Fleet, which is the leader.
func (n *benchNet) sendRenewals() {
	zoneOf := n.fleet.View().Epoch.ZoneOf
	for _, vm := range n.names[1:] {
		known := n.lastRenew[vm]
		if known == nil {
			zone, _ := zoneOf(vm)
			known = &membership.RenewRequest{
				Confirmed: membership.Confirmed{VM: vm, Incarnation: benchIncarnation, Epoch: 1}, Zone: zone,
			}
			n.lastRenew[vm] = known
		}
		known.Sequence = uint64(n.now / membership.RenewInterval)
		n.deliver(vm, KindRenew, membership.LeaseMessage{Renew: known})
	}
	n.runPending()
}

func (n *benchNet) report() {
	var messages, bytes int
	for kind := range n.sent {
		sent, taken := n.sent[kind], n.received[kind]
		messages += sent.messages + taken.messages
		bytes += sent.bytes + taken.bytes
		if kind != KindDigest && kind != KindLimit {
			short := strings.TrimPrefix(kind, "fleet.")
			n.b.ReportMetric(float64(sent.bytes+taken.bytes)/float64(n.b.N), short+"-B/s")
		}
	}
	n.b.ReportMetric(float64(messages)/float64(n.b.N), "messages/s")
	n.b.ReportMetric(float64(bytes)/float64(n.b.N), "B/s")
}

// BenchmarkFleet_AtRest runs one Fleet, an entry VM or the leader of the control group, against
// simulated VMs while the control state does not change. One op is one second of virtual time; its
// duration includes generating the messages of the simulated VMs.
func BenchmarkFleet_AtRest(b *testing.B) {
	for _, role := range []string{"entry", "leader"} {
		for _, vms := range []int{9, 100, 200, 400} {
			b.Run(fmt.Sprintf("%s/%d VMs", role, vms), func(b *testing.B) {
				n := newBenchNet(b, vms, role == "leader")
				for range benchWarmUp {
					n.runSecond()
				}
				for kind := range n.sent {
					*n.sent[kind], *n.received[kind] = traffic{}, traffic{}
				}
				b.ResetTimer()
				for range b.N {
					n.runSecond()
				}
				n.report()
				if role == "entry" {
					require.True(b, n.fleet.Current(time.Hour), "the entry VM has a lease")
				}
				if role == "leader" {
					require.GreaterOrEqual(b, n.sent[KindLease].messages, b.N*(vms-1), "the leader grants the leases")
				}
			})
		}
	}
}
