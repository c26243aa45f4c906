package groups

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/peer"
)

// fakeNetwork returns an error by VM and records the calls.
type fakeNetwork struct {
	errors    map[string]error
	calledVMs []string
	onCall    func() // cancels the caller's context, if not nil
}

func (n *fakeNetwork) Send(string, string, []byte) {}

func (n *fakeNetwork) Call(_ context.Context, vm, _ string, _ []byte) ([]byte, error) {
	n.calledVMs = append(n.calledVMs, vm)
	if n.onCall != nil {
		n.onCall()
	}
	return []byte("from " + vm), n.errors[vm]
}

func TestClient_FollowsTheLeader(t *testing.T) {
	network := &fakeNetwork{errors: map[string]error{
		"a1": &peer.UnreachableError{},
		"b1": &peer.RemoteError{Code: codeNotLeader, Message: "d1"},
	}}
	c := NewClient(network, []string{"a1", "b1", "c1"}, nil)
	for range 2 {
		answer, err := c.Propose(context.Background(), Control, nil)
		require.NoError(t, err)
		require.Equal(t, "from d1", string(answer))
	}
	require.Equal(t, []string{"a1", "b1", "d1", "d1"}, network.calledVMs, "the leader must be cached")
}

func TestClient_UnknownOutcomeIsNotRetried(t *testing.T) {
	network := &fakeNetwork{errors: map[string]error{"a1": &peer.LostError{VM: "a1", Cause: context.DeadlineExceeded}}}
	c := NewClient(network, []string{"a1", "b1"}, nil)
	_, err := c.Propose(context.Background(), Control, nil)
	require.True(t, errors.Is(err, ErrUnknownOutcome), err)
	require.Equal(t, []string{"a1"}, network.calledVMs)
	_, err = NewClient(network, []string{"a1", "b1"}, nil).Query(context.Background(), Control, nil)
	require.True(t, errors.Is(err, ErrNotProposed), "a query changes no state")
	require.Equal(t, []string{"a1", "a1"}, network.calledVMs)
}

// TestClient_CallsUnresponsiveVMLast cancels a call while the nearest control VM is partitioned and
// doesn't respond. The next call must not spend its time on that VM again.
func TestClient_CallsUnresponsiveVMLast(t *testing.T) {
	for name, err := range map[string]error{
		"not connected": &peer.UnreachableError{VM: "a1", Cause: context.DeadlineExceeded},
		"no answer":     &peer.LostError{VM: "a1", Cause: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			network := &fakeNetwork{errors: map[string]error{"a1": err}, onCall: cancel}
			c := NewClient(network, []string{"a1", "b1"}, nil)
			_, err := c.Propose(ctx, Control, nil)
			require.Error(t, err)
			answer, err := c.Propose(context.Background(), Program, nil)
			require.NoError(t, err)
			require.Equal(t, "from b1", string(answer))
			require.Equal(t, []string{"a1", "b1"}, network.calledVMs)

			network.errors = map[string]error{"b1": &peer.RemoteError{Code: codeNotLeader, Message: "a1"}}
			for range 2 {
				answer, err = c.Propose(context.Background(), Program, nil)
				require.NoError(t, err)
				require.Equal(t, "from a1", string(answer))
			}
			require.Equal(t, []string{"a1", "b1", "b1", "a1", "a1"}, network.calledVMs, "a1 responds again")
		})
	}
}

// TestClient_CanceledContextMakesNoCall uses a context that has already ended. No VM is called, which
// must not be reported as success.
func TestClient_CanceledContextMakesNoCall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	network := &fakeNetwork{}
	_, err := NewClient(network, []string{"a1"}, nil).Propose(ctx, Control, nil)
	require.True(t, errors.Is(err, ErrNotProposed), err)
	require.Empty(t, network.calledVMs)
}
