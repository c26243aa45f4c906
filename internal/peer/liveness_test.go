package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/clock"
	"egretramp/internal/peer/peerpb"
)

// countingStream counts the heartbeats and messages sent on a stream.
type countingStream struct {
	heartbeats, messages atomic.Int64
}

// Send implements messageSender.
func (s *countingStream) Send(e *peerpb.Envelope) error {
	if e.Kind == "" {
		s.heartbeats.Add(1)
	} else {
		s.messages.Add(1)
	}
	return nil
}

func TestLink_HeartbeatOnlyWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		stream := &countingStream{}
		l := newLink(New(Options{VM: "a"}), "b", "")
		go func() { _ = l.sendLoop(ctx, stream) }()
		for range 10 {
			time.Sleep(DialerHeartbeatInterval - 2*clock.Grid)
			l.enqueue("message", nil)
			synctest.Wait()
		}
		require.EqualValues(t, 1, stream.heartbeats.Load(), "only the initial heartbeat")
		require.EqualValues(t, 10, stream.messages.Load())
		for n := range int64(4) {
			time.Sleep(DialerHeartbeatInterval)
			synctest.Wait()
			require.EqualValues(t, 2+n, stream.heartbeats.Load(), "one heartbeat per interval without a message")
		}
		cancel()
	})
}

func TestLivenessMonitor_TimesOutAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var liveness livenessMonitor
		liveness.touch()
		timedOut := make(chan time.Time, 1)
		go func() {
			liveness.awaitTimeout(t.Context())
			timedOut <- time.Now()
		}()
		time.Sleep(HeartbeatTimeout - time.Millisecond)
		liveness.touch()
		last := time.Now()
		require.Equal(t, last.Add(HeartbeatTimeout), <-timedOut)
	})
}
