package groups

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

// entriesOf returns entries of a term with data of 200 bytes.
func entriesOf(first, term uint64, count int) []*raftpb.Entry {
	var entries []*raftpb.Entry
	for i := range count {
		entries = append(entries, &raftpb.Entry{Index: first + uint64(i), Term: term, Data: make([]byte, 200)})
	}
	return entries
}

func appendOf(group uint64, entries []*raftpb.Entry) *raftpb.Message {
	return &raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, Group: group, Formation: 7, From: 1, To: 2, Term: entries[0].Term,
		Index: entries[0].Index - 1, LogTerm: entries[0].Term, Entries: entries, Commit: 3,
	}
}

// TestForwardingPlan guards against entries that are sent to a zone more often than necessary, and against a replica that
// gets none because another VM doesn't pass them on: it is frozen, unreachable, slow or of another release.
func TestForwardingPlan(t *testing.T) {
	now := time.Hour
	unusable := map[string]bool{}
	zones := map[string]string{"a1": "a", "b1": "b", "b2": "b", "b3": "b", "c1": "c", "c2": "c"}
	p := newForwardingPlan("a")
	index := uint64(1)
	// round sends the next entries to all replicas and returns by which VM each of them gets them.
	round := func(group uint64) map[string]string {
		entries := entriesOf(index, 1, 2)
		index += 2
		by := map[string]string{}
		for _, vm := range []string{"a1", "b1", "b2", "b3", "c1", "c2"} {
			by[vm], _ = p.carrier(now, vm, zones[vm], appendOf(group, entries), func(vm string) bool { return !unusable[vm] })
		}
		return by
	}
	reply := func(group uint64, vm string, reject bool) {
		p.observe(now, vm, &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, Group: group, Index: index - 1, Reject: reject})
	}
	all := map[string]string{"a1": "", "b1": "", "b2": "b1", "b3": "b1", "c1": "", "c2": "c1"}
	require.Equal(t, all, round(2), "one copy for each other zone")
	require.Equal(t, all, round(3))

	unusable["b1"] = true
	require.Equal(t, map[string]string{"a1": "", "b1": "", "b2": "", "b3": "b2", "c1": "", "c2": "c1"}, round(2), "b1 doesn't respond")
	unusable["b1"] = false
	unusable["b2"] = true
	require.Empty(t, round(2)["b2"], "b2 is of the previous release")
	unusable["b2"] = false

	for _, vm := range []string{"b3", "c2"} {
		reply(2, vm, false)
	}
	now += forwardTimeout + time.Millisecond // b2 has not acknowledged
	got := round(2)
	require.Equal(t, "", got["b2"], "what was passed on is not acknowledged")
	require.Equal(t, "c1", got["c2"])
	now += directTime / 2
	reply(2, "b2", false)
	require.Equal(t, "", round(2)["b2"], "for a while")
	reply(2, "b3", false)
	reply(2, "c2", false)
	now += directTime
	for _, vm := range []string{"b1", "b2", "b3", "c1", "c2"} {
		reply(2, vm, false)
	}
	require.Equal(t, all, round(2), "again")

	reply(2, "c2", true)
	require.Equal(t, "c1", round(2)["c2"], "a probe has overtaken the append")
	now += overtakeTime
	reply(2, "c2", true)
	require.Equal(t, "c1", round(2)["c2"], "not missing for long")
	p.observe(now, "c2", &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, Group: 2, Index: index - 3})
	now += overtakeTime
	reply(2, "c2", true)
	require.Equal(t, "c1", round(2)["c2"], "it makes progress")
	now += time.Millisecond
	reply(2, "c2", true)
	require.Equal(t, "", round(2)["c2"], "an append that was passed on is missing")
	now += directTime
	for _, vm := range []string{"b2", "b3", "c2"} {
		reply(2, vm, false)
	}
	require.Equal(t, all, round(2))
}

// TestForwardingPlan_SmallEntries guards against small entries that overtake those that are passed on, and are rejected.
func TestForwardingPlan_SmallEntries(t *testing.T) {
	p := newForwardingPlan("a")
	send := func(m *raftpb.Message) (forwards bool) {
		for _, vm := range []string{"b1", "b2"} {
			_, forwards = p.carrier(time.Hour, vm, "b", m, func(string) bool { return true })
		}
		return forwards
	}
	small := func(index uint64) *raftpb.Message {
		return appendOf(2, []*raftpb.Entry{{Index: index, Term: 1, Data: make([]byte, 10)}})
	}
	require.False(t, send(small(1)))
	require.True(t, send(appendOf(2, entriesOf(2, 1, 1))))
	require.True(t, send(small(3)), "entry 2 is on its way")
	p.observe(time.Hour, "b2", &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, Group: 2, Index: 2})
	require.True(t, send(small(4)), "entry 3 is on its way")
	p.observe(time.Hour, "b2", &raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, Group: 2, Index: 4})
	require.False(t, send(small(5)))
}

// TestForwardingPlan_SentDirectly guards against appends that take a second hop without need, or that another VM can't pass
// on because it was sent other entries.
func TestForwardingPlan_SentDirectly(t *testing.T) {
	usable := func(string) bool { return true }
	entries := entriesOf(1, 1, 2)
	small := appendOf(2, []*raftpb.Entry{{Index: 1, Term: 1, Data: make([]byte, minForwardBytes-1)}})
	large := appendOf(2, []*raftpb.Entry{{Index: 1, Term: 1, Data: make([]byte, maxForwardBytes+1)}})
	empty := appendOf(2, entries)
	empty.Entries = nil
	for name, c := range map[string]struct {
		zone          string
		first, second *raftpb.Message
		pause         time.Duration
	}{
		"same zone":      {"a", appendOf(2, entries), appendOf(2, entries), 0},
		"unknown zone":   {"", appendOf(2, entries), appendOf(2, entries), 0},
		"small":          {"b", small, small, 0},
		"large":          {"b", large, large, 0},
		"no entries":     {"b", empty, empty, 0},
		"part":           {"b", appendOf(2, entries), appendOf(2, entries[1:]), 0},
		"more":           {"b", appendOf(2, entries[:1]), appendOf(2, entries), 0},
		"other group":    {"b", appendOf(2, entries), appendOf(3, entries), 0},
		"later":          {"b", appendOf(2, entries), appendOf(2, entries), sameRound + 1},
		"another's copy": {"b", appendOf(2, entries), appendOf(2, entriesOf(1, 1, 2)), 0},
	} {
		p := newForwardingPlan("a")
		for i, m := range []*raftpb.Message{c.first, c.second} {
			_, forwards := p.carrier(time.Hour+time.Duration(i)*c.pause, []string{"x", "y"}[i], c.zone, m, usable)
			require.False(t, forwards, name)
		}
	}
}

// memoryNetwork delivers the messages of several VMs at once, in order.
type memoryNetwork struct {
	self  string
	vms   map[string]*memoryVM
	old   map[string]bool // VMs of the previous release
	bytes map[string]int  // sent, by "from to"
	// drop is asked before a message is delivered.
	drop func(from, to, kind string) bool
}

type memoryVM struct {
	transport *ForwardingTransport
	received  []*raftpb.Message
}

func (n memoryNetwork) Send(vm, kind string, payload []byte) {
	n.bytes[n.self+" "+vm] += len(payload)
	if n.drop != nil && n.drop(n.self, vm, kind) {
		return
	}
	to := n.vms[vm]
	if kind == KindForward {
		to.transport.Forward(n.self, payload)
		return
	}
	if m, ok := to.transport.Receive(n.self, payload); ok {
		to.received = append(to.received, m)
	}
}

func (n memoryNetwork) Call(context.Context, string, string, []byte) ([]byte, error) { return nil, nil }
func (n memoryNetwork) Compact(vm string) bool                                       { return !n.old[vm] }
func (n memoryNetwork) Responds(string) bool                                         { return true }

// newMemoryVMs returns VMs with the transport between them: the first letter of a name is its zone.
func newMemoryVMs(n memoryNetwork, names ...string) memoryNetwork {
	n.vms, n.bytes = map[string]*memoryVM{}, map[string]int{}
	zoneOf := func(vm string) string { return vm[:1] }
	for _, name := range names {
		own := n
		own.self = name
		n.vms[name] = &memoryVM{transport: NewForwardingTransport(own, zoneOf(name), zoneOf, func() time.Duration { return time.Hour })}
	}
	return n
}

// TestForwardingTransport guards against replicas that receive something else than what the leader would have sent them, and
// against entries that go to a zone twice.
func TestForwardingTransport(t *testing.T) {
	n := newMemoryVMs(memoryNetwork{}, "a1", "b1", "b2")
	entries := entriesOf(5, 3, 2)
	for i, vm := range []string{"b1", "b2"} {
		m := appendOf(2, entries)
		m.To = uint64(10 + i)
		m.Commit = uint64(20 + i)
		want := proto.Clone(m).(*raftpb.Message)
		want.FromVm = "a1"
		n.vms["a1"].transport.Send(vm, m)
		require.Len(t, n.vms[vm].received, 1)
		require.True(t, proto.Equal(want, n.vms[vm].received[0]), "%v", n.vms[vm].received[0])
	}
	require.Less(t, n.bytes["a1 b2"], 1, "nothing went directly")
	require.Less(t, n.bytes["a1 b1"], 2*200+200, "the entries went once")
	require.Greater(t, n.bytes["b1 b2"], 2*200)
}

// TestForwardingTransport_PreviousRelease guards against requests to pass on that a VM doesn't know, and against messages
// without the names of their VMs to it.
func TestForwardingTransport_PreviousRelease(t *testing.T) {
	for _, old := range []string{"b1", "b2"} {
		n := newMemoryVMs(memoryNetwork{old: map[string]bool{old: true}}, "a1", "b1", "b2")
		entries := entriesOf(5, 3, 2)
		for _, vm := range []string{"b1", "b2"} {
			n.vms["a1"].transport.Send(vm, appendOf(2, entries))
			require.Len(t, n.vms[vm].received, 1)
		}
		require.Zero(t, n.bytes["b1 b2"])
	}
}

// TestForwardingTransport_OtherEntries guards against entries of an earlier term or of another formation that are passed on
// as those of the present one: replicas would then hold different logs.
func TestForwardingTransport_OtherEntries(t *testing.T) {
	entries := entriesOf(5, 3, 2)
	for name, received := range map[string]*raftpb.Message{
		"earlier term":   appendOf(2, entriesOf(5, 2, 2)),
		"other index":    appendOf(2, entriesOf(6, 3, 2)),
		"fewer":          appendOf(2, entriesOf(5, 3, 1)),
		"more":           appendOf(2, entriesOf(5, 3, 3)),
		"another group":  appendOf(3, entries),
		"none":           nil,
		"past formation": func() *raftpb.Message { m := appendOf(2, entries); m.Formation = 6; return m }(),
	} {
		// The append that is to be passed on gets lost, and the VM has what it received before.
		lost := false
		n := newMemoryVMs(memoryNetwork{drop: func(_, to, kind string) bool { return lost && to == "b1" && kind == KindRaft }}, "a1", "b1", "b2")
		if received != nil {
			n.vms["a1"].transport.Send("b1", received)
		}
		lost = true
		for _, vm := range []string{"b1", "b2"} {
			n.vms["a1"].transport.Send(vm, appendOf(2, entries))
		}
		require.Empty(t, n.vms["b2"].received, name)
	}
	n := newMemoryVMs(memoryNetwork{}, "a1", "a2", "b1", "b2")
	n.vms["a1"].transport.Send("b1", appendOf(2, entries))
	header, err := proto.Marshal(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TYPE_APPEND, Group: 2, Formation: 7, Index: 4})
	require.NoError(t, err)
	payload, err := cbor.Marshal(forwardRequest{To: "b2", Header: header, Count: 2, LastTerm: 3})
	require.NoError(t, err)
	n.vms["b1"].transport.Forward("a2", payload)
	require.Empty(t, n.vms["b2"].received, "another sender")
	n.vms["b1"].transport.Forward("a1", payload[:len(payload)/2])
	n.vms["b1"].transport.Forward("a1", nil)
	require.Empty(t, n.vms["b2"].received, "damaged")
	n.vms["b1"].transport.Forward("a1", payload)
	require.Len(t, n.vms["b2"].received, 1)
}
