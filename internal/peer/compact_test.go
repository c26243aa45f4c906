package peer

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/peer/peerpb"
)

// recordingSender records what is sent on a stream, as bytes.
type recordingSender struct{ sent [][]byte }

func (s *recordingSender) Send(envelope *peerpb.Envelope) error {
	data, err := proto.Marshal(envelope)
	s.sent = append(s.sent, data)
	return err
}

// TestCompact_RestoresMessages guards against messages that are delivered under the name or the kind of another one, with any
// sequence of kinds, empty payloads and heartbeats, and from the moment on at which the other VM accepts them.
func TestCompact_RestoresMessages(t *testing.T) {
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		var accepted atomic.Bool
		var stream recordingSender
		sender := &compactSender{messageSender: &stream, accepted: &accepted}
		var want []*peerpb.Envelope
		for range 50 {
			if r.Intn(10) == 0 {
				accepted.Store(true)
			}
			envelope := &peerpb.Envelope{From: "vm", Kind: []string{"", "a", "b"}[r.Intn(3)]}
			if envelope.Kind != "" {
				envelope.Payload = make([]byte, r.Intn(3))
			}
			want = append(want, proto.Clone(envelope).(*peerpb.Envelope))
			require.NoError(t, sender.Send(envelope))
		}
		var receiver compactReceiver
		for i, data := range stream.sent {
			var got peerpb.Envelope
			require.NoError(t, proto.Unmarshal(data, &got))
			receiver.expand(&got)
			require.Equal(t, want[i].From, got.From, "seed %d, message %d", seed, i)
			require.Equal(t, want[i].Kind, got.Kind, "seed %d, message %d", seed, i)
			require.Len(t, got.Payload, len(want[i].Payload))
		}
	}
}

// TestCompact_PreviousRelease guards against envelopes without sender or kind that reach a VM which can't restore them: one
// whose heartbeats have no payload.
func TestCompact_PreviousRelease(t *testing.T) {
	require.False(t, statesCompact(&peerpb.Envelope{From: "old"}))
	require.True(t, statesCompact(&peerpb.Envelope{Payload: acceptsCompact}))
	var stream recordingSender
	sender := &compactSender{messageSender: &stream, accepted: &atomic.Bool{}}
	for range 3 {
		require.NoError(t, sender.Send(&peerpb.Envelope{From: "vm", Kind: "a", Payload: []byte("x")}))
	}
	require.Equal(t, stream.sent[0], stream.sent[2])
}

// TestCompact_BetweenVMs guards against messages that are lost or changed once the VMs have agreed, with heartbeats in between,
// and against bytes that are not saved.
func TestCompact_BetweenVMs(t *testing.T) {
	var mu sync.Mutex
	var got []string
	a, b, _, _ := pairOfNodes(t, func(_, b *Node) {
		for _, kind := range []string{"kind of messages one", "kind of messages two"} {
			b.HandleMessages(kind, func(from string, payload []byte) {
				mu.Lock()
				defer mu.Unlock()
				got = append(got, fmt.Sprint(from, " ", kind, " ", string(payload)))
			})
		}
	})
	require.Eventually(t, func() bool { return a.Compact("b") }, waitTimeout, 10*time.Millisecond)
	require.False(t, b.Compact("a"), "b has dialed nobody")
	var want []string
	before := a.Stats().BytesSent.Load()
	const messages = 300
	for i := range messages {
		kind := "kind of messages one"
		if i%100 == 50 {
			kind = "kind of messages two"
			time.Sleep(HeartbeatInterval)
		}
		a.Send("b", kind, []byte(fmt.Sprint(i)))
		want = append(want, fmt.Sprint("a ", kind, " ", i))
	}
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(got) == messages
	}, waitTimeout, 10*time.Millisecond)
	require.Equal(t, want, got)
	perMessage := float64(a.Stats().BytesSent.Load()-before) / messages
	require.Less(t, perMessage, float64(len("kind of messages one")), "neither sender nor kind is sent again")
}
