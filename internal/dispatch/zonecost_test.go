package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/schedule"
)

func TestZoneCost_WeighsWaitWayAndPrefix(t *testing.T) {
	call := &schedule.Request{Program: "p", Resident: "engine", PromptTokens: 1000}
	idle := schedule.Load{PrefillNS: (100 * time.Microsecond).Nanoseconds()}
	busy := idle
	busy.WaitMS = 250
	require.Zero(t, ZoneCost(idle, true, true, call))
	require.Equal(t, crossZoneCost, ZoneCost(idle, false, true, call))
	require.Less(t, ZoneCost(busy, false, true, call), ZoneCost(idle, true, false, call),
		"computing 1000 tokens again costs more than to wait for 250 ms")
	call.PrefixTokens = 100
	require.Greater(t, ZoneCost(busy, false, true, call), ZoneCost(idle, true, false, call))
	first := &schedule.Request{Program: "p", PromptTokens: 1000}
	require.Zero(t, ZoneCost(idle, true, false, first), "a first call loses no prefix")
}

func TestError_SoonerKeepsTheEarliestRefusal(t *testing.T) {
	none := &Error{Code: CodeNoUpstream}
	late := &Error{Code: CodeRefused, RetryAfter: 5 * time.Second}
	soon := &Error{Code: CodeRefused, RetryAfter: time.Second}
	require.Equal(t, late, none.sooner(late))
	require.Equal(t, soon, late.sooner(soon))
	require.Equal(t, soon, soon.sooner(late))
	require.Equal(t, soon, soon.sooner(none))
}
