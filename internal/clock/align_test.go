package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAlign_EndsOnTheGridAndKeepsTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, interval := range []time.Duration{halfGrid, Grid, 2 * Grid, time.Second} {
			time.Sleep(7 * time.Millisecond)
			first := Align(interval)
			require.LessOrEqual(t, first, interval)
			require.Greater(t, first, interval-min(interval, Grid))
			time.Sleep(first)
			for range 5 {
				require.Zero(t, time.Since(started)%min(interval, Grid), "%v", interval)
				time.Sleep(3 * time.Millisecond) // the wake-up is late
				time.Sleep(Align(interval))
			}
		}
		require.Equal(t, halfGrid-1, Align(halfGrid-1), "a short wait is left alone")
	})
}
