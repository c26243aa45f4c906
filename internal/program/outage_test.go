package program

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/groups"
)

func TestLedger_OutageStartsAtFirstUnansweredCommand(t *testing.T) {
	now := time.Hour
	g := &fakeGroup{m: New(DefaultLimits())}
	l := NewLedger(LedgerOptions{Proposer: g, Clock: func() time.Duration { return now }})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	create := func() {
		_, _ = l.Create(ended, Create{Account: "a", Name: "p"})
	}
	create()
	require.Zero(t, l.Outage(), "a refusal counts as an answer")
	g.fail = func(int) fault { return notProposed }
	for range 4 {
		create()
		now += time.Second
	}
	require.Equal(t, 4*time.Second, l.Outage())
	now += groups.OutageMemory
	require.Zero(t, l.Outage(), "no command was sent for OutageMemory")
	create()
	now += 2 * time.Second
	g.fail = func(int) fault { return lostCommand }
	create()
	require.Equal(t, 2*time.Second, l.Outage())
	g.fail = nil
	create()
	require.Zero(t, l.Outage())
}
