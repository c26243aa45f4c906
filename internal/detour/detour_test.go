package detour

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"egretramp/internal/clock"
	"egretramp/internal/peer"
	"egretramp/internal/upconn"
)

func TestPaths_CutOff(t *testing.T) {
	failed := func(address string, direct Result) Attempt { return Attempt{address, direct, Connected} }
	for name, c := range map[string]struct {
		suspect Attempt
		survey  []Attempt
		change  Change
		silent  bool
	}{
		"packets are dropped": {failed("a", Silent), []Attempt{failed("b", Silent), failed("c", Silent)}, CutOff, true},
		"refused":             {failed("a", Refused), []Attempt{failed("b", Refused)}, CutOff, false},
		"the only upstream":   {failed("a", Silent), nil, CutOff, true},
		"another upstream is reached": {
			failed("a", Silent), []Attempt{failed("b", Silent), {"c", Connected, NotTried}}, None, false,
		},
		"the others are down": {failed("a", Silent), []Attempt{{"b", Silent, Silent}, {"c", Refused, Refused}}, None, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPaths()
			require.Equal(t, Suspected, p.Observe(1, c.suspect))
			require.Equal(t, c.change, p.Survey(2, c.survey))
			cut, silent := p.Cut()
			require.Equal(t, c.change == CutOff, cut)
			require.Equal(t, c.silent, silent)
			require.True(t, p.Detoured(3, "a"))
			require.Equal(t, cut, p.Detoured(3, "unheard of"))
			require.Equal(t, cut, p.Detoured(retryDirectAfter+3, "a"), "a single path is tried again")
			if cut {
				require.Equal(t, Healed, p.Observe(4, Attempt{"c", Connected, NotTried}))
				require.False(t, p.Detoured(5, "a"))
			}
		})
	}
}

// TestPaths_SilentUpstreams checks that upstreams that other VMs don't reach either are no evidence: they are down, or
// pause for a second.
func TestPaths_SilentUpstreams(t *testing.T) {
	p := NewPaths()
	for _, result := range []Result{Refused, Silent} {
		for _, address := range []string{"a", "b", "c"} {
			require.Equal(t, None, p.Observe(1, Attempt{address, result, result}))
			require.Equal(t, None, p.Observe(1, Attempt{address, result, NotTried}))
		}
	}
	require.Equal(t, None, p.Survey(1, []Attempt{{"a", Silent, Silent}}))
	require.False(t, p.Detoured(1, "a"))
}

func TestPaths_EvidenceExpires(t *testing.T) {
	p := NewPaths()
	p.Observe(1, Attempt{"a", Silent, Connected})
	require.Equal(t, None, p.Survey(evidenceLifetime+2, []Attempt{{"b", Silent, Connected}}), "only the second one is recent")
}

// network is a fake of the links between a VM, other VMs and upstreams.
type network struct {
	mu       sync.Mutex
	direct   error            // of direct dials; nil if they succeed
	down     map[string]error // upstreams that nobody reaches
	vms      map[string]error // errors of other VMs
	tunnels  []string         // VMs through which connections were opened
	dials    int
	changes  []bool
	closed   int
	duration time.Duration // of successful direct dials
}

func (n *network) dialer(vms ...string) *Dialer {
	return New(Options{
		Direct: n.dialDirect, Tunnel: n.openTunnel, VMs: func(context.Context) []string { return vms },
		Upstreams: func() []string { return []string{"u1", "u2", "u3"} }, Clock: clock.Now,
		OnChange: func(cut, _ bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes = append(n.changes, cut)
		},
	})
}

func (n *network) set(direct error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct = direct
}

// conn is a connection that counts when it is closed.
type conn struct {
	net.Conn
	network *network
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.closed++
	return nil
}

func (n *network) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	err, duration := n.direct, n.duration
	n.dials++
	if err == nil {
		err = n.down[address]
	}
	n.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		duration = 150 * time.Millisecond
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return &conn{network: n}, nil
}

func (n *network) openTunnel(ctx context.Context, vm, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.vms[vm]; err != nil {
		return nil, err
	}
	switch err := n.down[address]; {
	case upconn.RefusedByHost(err):
		return nil, &peer.RemoteError{Code: CodeRefused}
	case err != nil:
		return nil, &peer.RemoteError{Code: CodeUnreachable}
	}
	n.tunnels = append(n.tunnels, vm)
	return &conn{network: n}, nil
}

func (n *network) opened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.tunnels)
}

func TestDialer_GoesDirectWhileItCan(t *testing.T) {
	n := &network{duration: headStart / 2}
	d := n.dialer("vm1")
	for range 10 {
		_, err := d.Dial(context.Background(), "u1")
		require.NoError(t, err)
	}
	require.Zero(t, n.opened())
}

func TestDialer_CutOffAndBack(t *testing.T) {
	for name, fault := range map[string]error{"silent": os.ErrDeadlineExceeded, "refused": unix.ECONNREFUSED, "reset": unix.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			n := &network{direct: fault}
			d := n.dialer("vm1", "vm2")
			started := time.Now()
			_, err := d.Dial(context.Background(), "u1")
			require.NoError(t, err)
			require.Less(t, time.Since(started), 140*time.Millisecond, "it doesn't wait for the direct dial")
			require.Eventually(t, d.Cut, 2*time.Second, time.Millisecond)
			require.Equal(t, name == "silent", d.Silenced())
			dials := n.dials
			for range 20 {
				_, err := d.Dial(context.Background(), "u3")
				require.NoError(t, err)
			}
			require.Equal(t, dials, n.dials, "no direct dial while it is cut off")

			n.set(nil)
			require.Eventually(t, func() bool {
				d.Check("", 0)
				return !d.Cut()
			}, 2*time.Second, 10*time.Millisecond)
			opened := n.opened()
			_, err = d.Dial(context.Background(), "u1")
			require.NoError(t, err)
			require.Equal(t, opened, n.opened())
			require.Equal(t, []bool{true, false}, n.changes)
		})
	}
}

// TestDialer_DeadUpstreams checks that neither upstreams that are down nor other VMs that are of no help make this VM
// count as cut off, and which errors prove that an upstream's process has ended.
func TestDialer_DeadUpstreams(t *testing.T) {
	unreachable := &peer.RemoteError{Code: CodeUnavailable}
	lost := &peer.UnreachableError{VM: "vm1", Cause: context.DeadlineExceeded}
	for name, c := range map[string]struct {
		direct, down, vm error
		refused          bool
	}{
		"refused everywhere":                   {nil, unix.ECONNREFUSED, nil, true},
		"silent everywhere":                    {nil, os.ErrDeadlineExceeded, nil, false},
		"refused here, no VM answers":          {unix.ECONNREFUSED, nil, lost, true},
		"refused here, the other is cut off":   {unix.ECONNREFUSED, nil, unreachable, false},
		"silent here, the other VM is refused": {os.ErrDeadlineExceeded, unix.ECONNREFUSED, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := &network{direct: c.direct, down: map[string]error{"u1": c.down}, vms: map[string]error{"vm1": c.vm}}
			d := n.dialer("vm1")
			_, err := d.Dial(context.Background(), "u1")
			require.Error(t, err)
			require.Equal(t, c.refused, upconn.RefusedByHost(err), "%v", err)
			time.Sleep(2 * headStart)
			require.False(t, d.Cut())
		})
	}
}

// TestDialer_SharesLoad checks that detours are spread over the VMs that open them, and that one of no help costs
// little.
func TestDialer_SharesLoad(t *testing.T) {
	n := &network{direct: unix.ECONNREFUSED, vms: map[string]error{"vm0": &peer.RemoteError{Code: CodeUnavailable}}}
	d := n.dialer("vm0", "vm1", "vm2", "vm3", "vm4")
	later := clock.Now() + time.Hour
	d.goodUntil["vm1"], d.goodUntil["vm2"], d.goodUntil["vm3"] = later, later, later
	for range 300 {
		_, err := d.Dial(context.Background(), "u1")
		require.NoError(t, err)
	}
	through := map[string]int{}
	for _, vm := range n.tunnels {
		through[vm]++
	}
	require.Zero(t, through["vm0"])
	for _, vm := range []string{"vm1", "vm2", "vm3"} {
		require.Greater(t, through[vm], 50, fmt.Sprint(through))
	}
}

// TestDialer_ClosesWhatItDoesNotUse dials with both ways open late: one connection is returned, the other closed.
func TestDialer_ClosesWhatItDoesNotUse(t *testing.T) {
	n := &network{duration: 2 * headStart}
	d := n.dialer("vm1")
	_, err := d.Dial(context.Background(), "u1")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.closed == 1
	}, time.Second, time.Millisecond)
	require.False(t, d.paths.Detoured(clock.Now(), "u1"), "a slow direct path is no failed one")
}

// TestDialer_ChecksSilentPaths lets requests wait on open connections, without a dial that would fail.
func TestDialer_ChecksSilentPaths(t *testing.T) {
	n := &network{direct: os.ErrDeadlineExceeded}
	d := n.dialer("vm1")
	d.Check("u1", silenceBeforeCheck/2)
	time.Sleep(20 * time.Millisecond)
	require.Zero(t, n.dials)
	require.Eventually(t, func() bool {
		d.Check("u1", silenceBeforeCheck)
		return d.Cut()
	}, 3*time.Second, 20*time.Millisecond)
}

// TestDialer_NoWayIsKnownAtOnce cuts a VM off while no other VM is of help either: after the first dial, requests must
// not wait for dials that can't succeed.
func TestDialer_NoWayIsKnownAtOnce(t *testing.T) {
	n := &network{direct: os.ErrDeadlineExceeded}
	d := n.dialer("vm1", "vm2")
	_, err := d.Dial(context.Background(), "u1")
	require.NoError(t, err)
	require.Eventually(t, d.Cut, 2*time.Second, time.Millisecond)
	n.mu.Lock()
	n.vms = map[string]error{"vm1": &peer.RemoteError{Code: CodeUnavailable}, "vm2": &peer.RemoteError{Code: CodeUnavailable}}
	n.mu.Unlock()
	_, err = d.Dial(context.Background(), "u1")
	require.Error(t, err)
	started := time.Now()
	for range 20 {
		_, err := d.Dial(context.Background(), "u2")
		require.Error(t, err)
		require.False(t, upconn.RefusedByHost(err))
	}
	require.Less(t, time.Since(started), 200*time.Millisecond)
}
