package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// cuts holds the link directions that fault injection has cut. Traffic on a cut link is dropped
// without an error on either side, as when a network drops packets.
type cuts struct {
	to, from map[string]bool
}

var errCut = errors.New("link is cut by fault injection")

// Cut drops all traffic to and from the given VMs and heals every other link. It exists for fault
// injection.
func (n *Node) Cut(vms []string) {
	n.CutLinks(vms, nil)
}

// CutLinks replaces the set of cut links: traffic with the VMs in both is dropped in both
// directions, traffic with the VMs in to is dropped only when outbound. Two nil lists heal all
// links. It exists for fault injection.
func (n *Node) CutLinks(both, to []string) {
	c := &cuts{to: map[string]bool{}, from: map[string]bool{}}
	for _, vm := range both {
		c.to[vm], c.from[vm] = true, true
	}
	for _, vm := range to {
		c.to[vm] = true
	}
	n.cuts.Store(c)
}

// cutTo reports whether outbound traffic to vm is cut.
func (n *Node) cutTo(vm string) bool { return n.cuts.Load().to[vm] }

// cutFrom reports whether inbound traffic from vm is cut.
func (n *Node) cutFrom(vm string) bool { return n.cuts.Load().from[vm] }

// awaitCutTimeout waits as long as a dial over a cut link would take to time out, and returns errCut.
func awaitCutTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(DialTimeout):
	}
	return errCut
}
