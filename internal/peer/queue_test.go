package peer

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/peer/peerpb"
)

func TestQueue_OrderBoundAndCapacity(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		q := newQueue()
		var want []*peerpb.Envelope
		for range 20_000 {
			if random.Intn(100) < 48+random.Intn(7) {
				m := queuedMessage{envelope: &peerpb.Envelope{}, enqueuedAt: time.Now()}
				require.Equal(t, len(want) < maxQueueLength, q.push(m))
				if len(want) < maxQueueLength {
					want = append(want, m.envelope)
				}
				require.Len(t, q.wake, 1, "wake must hold a value after push")
				require.LessOrEqual(t, cap(q.items), 4*maxQueueLength)
				continue
			}
			m, ok := q.pop()
			require.Equal(t, len(want) > 0, ok)
			if ok {
				require.Same(t, want[0], m.envelope)
				want = want[1:]
			}
		}
		for _, envelope := range want {
			m, _ := q.pop()
			require.Same(t, envelope, m.envelope)
		}
		require.LessOrEqual(t, cap(q.items), idleQueueCapacity)
	}
}

func TestQueue_RejectsPushWhenFull(t *testing.T) {
	q := newQueue()
	for range maxQueueLength {
		require.True(t, q.push(queuedMessage{}))
	}
	require.False(t, q.push(queuedMessage{}))
	_, ok := q.pop()
	require.True(t, ok)
	require.True(t, q.push(queuedMessage{}))
}
