package peer

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/peer/peerpb"
)

func TestQueue_KeepsOrderBoundAndLittleRoom(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		q := newQueue()
		var want []*peerpb.Envelope
		for range 20_000 {
			if random.Intn(100) < 48+random.Intn(7) {
				m := queued{envelope: &peerpb.Envelope{}, since: time.Now()}
				require.Equal(t, len(want) < queueLength, q.push(m))
				if len(want) < queueLength {
					want = append(want, m.envelope)
				}
				require.Len(t, q.wake, 1, "the sender is woken")
				require.LessOrEqual(t, cap(q.items), 4*queueLength)
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
		require.LessOrEqual(t, cap(q.items), queueKept)
	}
}

func TestQueue_RefusesBeyondItsBound(t *testing.T) {
	q := newQueue()
	for range queueLength {
		require.True(t, q.push(queued{}))
	}
	require.False(t, q.push(queued{}))
	_, ok := q.pop()
	require.True(t, ok)
	require.True(t, q.push(queued{}))
}
