package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAlign_EndsOnGridWithoutDrift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, interval := range []time.Duration{halfGrid, Grid, 2 * Grid, time.Second} {
			time.Sleep(7 * time.Millisecond)
			first := Align(interval)
			require.LessOrEqual(t, first, interval)
			require.Greater(t, first, interval-min(interval, Grid))
			time.Sleep(first)
			for range 5 {
				require.Zero(t, time.Since(processStart)%min(interval, Grid), "%v", interval)
				time.Sleep(3 * time.Millisecond) // simulates a late wake-up
				time.Sleep(Align(interval))
			}
		}
		require.Equal(t, halfGrid-1, Align(halfGrid-1), "a wait shorter than halfGrid must stay unchanged")
	})
}

func TestRepeat_KeepsTheIntervalAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var at []time.Duration
		begin := time.Now()
		Repeat(ctx, time.Second, func() {
			at = append(at, time.Since(begin))
			time.Sleep(time.Duration(len(at)%2) * 300 * time.Millisecond)
			if len(at) == 5 {
				cancel()
			}
		})
		require.Len(t, at, 5)
		for i := 1; i < len(at); i++ {
			require.Equal(t, time.Second, (at[i] - at[i-1]).Round(Grid))
		}
	})
}
