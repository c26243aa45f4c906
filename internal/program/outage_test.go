package program

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/groups"
)

func TestLedger_OutageLastsFromTheFirstUnansweredCommand(t *testing.T) {
	now := time.Hour
	g := &group{m: New(DefaultLimits())}
	l := NewLedger(LedgerOptions{Proposer: g, Clock: func() time.Duration { return now }})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	ask := func() {
		_, _ = l.Create(ended, Create{Account: "a", Name: "p"})
	}
	ask()
	require.Zero(t, l.Outage(), "a refusal is an answer")
	g.fail = func(int) fault { return notProposed }
	for range 4 {
		ask()
		now += time.Second
	}
	require.Equal(t, 4*time.Second, l.Outage())
	now += groups.OutageExpiry
	require.Zero(t, l.Outage(), "it was long ago")
	ask()
	now += 2 * time.Second
	g.fail = func(int) fault { return lostCommand }
	ask()
	require.Equal(t, 2*time.Second, l.Outage())
	g.fail = nil
	ask()
	require.Zero(t, l.Outage())
}
