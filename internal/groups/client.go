package groups

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"egretramp/internal/peer"
)

// Client sends commands and queries to the leaders of the groups. It is safe for concurrent use.
type Client struct {
	network     Network
	controlVMs  []string
	vms         func(group uint64) []string // the VMs to call for a group, nearest first
	callTimeout time.Duration

	mu           sync.Mutex
	leaders      map[uint64]string
	unresponsive map[string]bool // VMs that did not respond to the last call
}

// NewClient returns a client for groups with fixed replicas. They run on controlVMs, listed nearest
// first, except for the groups in zoneVoters.
func NewClient(network Network, controlVMs []string, zoneVoters map[uint64][]string) *Client {
	vms := func(group uint64) []string {
		if voters, ok := zoneVoters[group]; ok {
			return voters
		}
		return controlVMs
	}
	c := NewDynamicClient(network, vms, defaultCallTimeout)
	c.controlVMs = controlVMs
	return c
}

// NewDynamicClient returns a client for groups whose replicas can move to other VMs. vms returns the
// VMs to call at present. callTimeout limits a call to one VM.
func NewDynamicClient(network Network, vms func(group uint64) []string, callTimeout time.Duration) *Client {
	return &Client{network: network, vms: vms, callTimeout: callTimeout, leaders: map[uint64]string{}, unresponsive: map[string]bool{}}
}

// retryPause is the time between two attempts of ProposeWithRetry. An election takes several of
// them.
const retryPause = 40 * time.Millisecond

// ProposeWithRetry proposes a command until its result is known or ctx ends. It is only for commands
// that may be applied more than once.
func (c *Client) ProposeWithRetry(ctx context.Context, group uint64, data []byte) ([]byte, error) {
	for {
		result, err := c.Propose(ctx, group, data)
		if err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryPause):
		}
	}
}

// ControlVMs returns the control VMs given to NewClient.
func (c *Client) ControlVMs() []string { return c.controlVMs }

// Propose proposes a command to a group and returns the state machine's result. Errors wrap
// ErrNotProposed or ErrUnknownOutcome.
func (c *Client) Propose(ctx context.Context, group uint64, data []byte) ([]byte, error) {
	return c.callGroup(ctx, MethodPropose, group, data)
}

// Query sends a query to a group's leader, which confirms its leadership before it replies.
func (c *Client) Query(ctx context.Context, group uint64, data []byte) ([]byte, error) {
	result, err := c.callGroup(ctx, MethodQuery, group, data)
	if errors.Is(err, ErrUnknownOutcome) {
		return nil, errors.Mark(err, ErrNotProposed) // a query changes no state
	}
	return result, err
}

// Call calls a method that only a group's leader serves. The handler of any other VM returns
// NotLeader.
func (c *Client) Call(ctx context.Context, method string, group uint64, payload []byte) ([]byte, error) {
	return c.callLeader(ctx, method, group, payload)
}

// callGroup sends a request to a group's leader. It returns the same errors as callLeader.
func (c *Client) callGroup(ctx context.Context, method string, group uint64, data []byte) ([]byte, error) {
	payload, err := cbor.Marshal(request{Group: group, Data: data})
	if err != nil {
		return nil, errors.Mark(err, ErrNotProposed)
	}
	return c.callLeader(ctx, method, group, payload)
}

// callLeader calls the cached leader, then any leader named in a reply, then the other VMs.
func (c *Client) callLeader(ctx context.Context, method string, group uint64, payload []byte) ([]byte, error) {
	queue := c.candidates(group)
	tried := map[string]bool{}
	lastErr := errNotAttempted
	for len(queue) > 0 && ctx.Err() == nil {
		vm := queue[0]
		queue = queue[1:]
		if tried[vm] {
			continue
		}
		tried[vm] = true
		result, hint, err := c.callVM(ctx, vm, method, payload)
		if err == nil {
			c.setLeader(group, vm)
			return result, nil
		}
		if errors.Is(err, ErrUnknownOutcome) {
			c.setLeader(group, "")
			return nil, err
		}
		lastErr = err
		// Until they elect a new leader, replicas may name one that no longer responds.
		if hint != "" && !c.isUnresponsive(hint) {
			queue = append([]string{hint}, queue...)
		}
	}
	return nil, errors.Mark(errors.Wrapf(lastErr, "group %d", group), ErrNotProposed)
}

// callVM calls one VM. The error wraps ErrUnknownOutcome if the request may have been proposed.
func (c *Client) callVM(ctx context.Context, vm, method string, payload []byte) (result []byte, leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	result, err = c.network.Call(ctx, vm, method, payload)
	var remote *peer.RemoteError
	c.setUnresponsive(vm, err != nil && !errors.As(err, &remote))
	if err == nil {
		return result, "", nil
	}
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) {
		return nil, "", err
	}
	if errors.As(err, &remote) && remote.Code != codeUnknown {
		if remote.Code == codeNotLeader {
			leader = remote.Message
		}
		return nil, leader, err
	}
	return nil, "", errors.Mark(err, ErrUnknownOutcome)
}

// candidates returns the VMs to call. Unresponsive ones are last, because one of them can use up
// the caller's entire deadline.
func (c *Client) candidates(group uint64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	if leader := c.leaders[group]; leader != "" {
		all = append(all, leader)
	}
	all = append(all, c.vms(group)...)
	slices.SortStableFunc(all, func(a, b string) int { return callOrder(c.unresponsive[a]) - callOrder(c.unresponsive[b]) })
	return all
}

// callOrder returns the sort key of a VM in candidates.
func callOrder(unresponsive bool) int {
	if unresponsive {
		return 1
	}
	return 0
}

func (c *Client) setUnresponsive(vm string, unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if unresponsive {
		c.unresponsive[vm] = true
		return
	}
	delete(c.unresponsive, vm)
}

func (c *Client) isUnresponsive(vm string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unresponsive[vm]
}

func (c *Client) setLeader(group uint64, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = vm
}
