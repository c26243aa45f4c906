package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/schedule"
)

func TestZoneCost_WeighsWaitRoundTripAndPrefix(t *testing.T) {
	call := &schedule.Request{Program: "p", Resident: "engine", PromptTokens: 1000}
	idle := schedule.Load{PrefillNS: (100 * time.Microsecond).Nanoseconds()}
	busy := idle
	busy.WaitMS = 250
	require.Zero(t, ZoneCost(idle, true, true, call))
	require.Equal(t, crossZoneRTT, ZoneCost(idle, false, true, call))
	require.Less(t, ZoneCost(busy, false, true, call), ZoneCost(idle, true, false, call),
		"recomputing 1000 tokens costs more than waiting for 250 ms")
	call.PrefixTokens = 100
	require.Greater(t, ZoneCost(busy, false, true, call), ZoneCost(idle, true, false, call))
	first := &schedule.Request{Program: "p", PromptTokens: 1000}
	require.Zero(t, ZoneCost(idle, true, false, first), "a first call has no prefix to recompute")
}

func TestZoneCost_ProgramStaysWithItsPrefix(t *testing.T) {
	idle := schedule.Load{PrefillNS: (10 * time.Microsecond).Nanoseconds()}
	call := &schedule.Request{Program: "p", Resident: "engine", PromptTokens: 500}
	require.Less(t, ZoneCost(idle, false, true, call), ZoneCost(idle, true, false, call),
		"even a short prefix is not recomputed because the call arrived in another zone")
	busy := idle
	busy.WaitMS = 500
	require.Greater(t, ZoneCost(busy, false, true, call), ZoneCost(idle, true, false, call))
	first := &schedule.Request{Program: "p", PromptTokens: 500}
	busy.WaitMS = 50
	require.Less(t, ZoneCost(busy, true, false, first), ZoneCost(idle, false, false, first),
		"a first call does not leave its zone for a short wait")
}

func TestError_EarlierRetryPrefersEarliestRefusal(t *testing.T) {
	none := &Error{Code: CodeNoUpstream}
	late := &Error{Code: CodeRefused, RetryAfter: 5 * time.Second}
	soon := &Error{Code: CodeRefused, RetryAfter: time.Second}
	require.Equal(t, late, none.earlierRetry(late))
	require.Equal(t, soon, late.earlierRetry(soon))
	require.Equal(t, soon, soon.earlierRetry(late))
	require.Equal(t, soon, soon.earlierRetry(none))
}
