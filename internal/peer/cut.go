package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// cuts are the links that fault injection has cut. A cut link is silent: nothing crosses it
// and neither side is told, as when a network drops packets.
type cuts struct {
	to, from map[string]bool
}

var errCut = errors.New("link is cut by fault injection")

// Cut makes the node drop everything to and from the given VMs, and nothing else. It exists
// for fault injection.
func (n *Node) Cut(vms []string) {
	n.CutLinks(vms, nil)
}

// CutLinks replaces the cut links: nothing crosses those to and from the VMs in both, and
// nothing is sent to the VMs in to. Nil heals all. It exists for fault injection.
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

func (n *Node) cutTo(vm string) bool { return n.cuts.Load().to[vm] }

func (n *Node) cutFrom(vm string) bool { return n.cuts.Load().from[vm] }

// awaitCut waits as long as a connection attempt over a cut link would take.
func awaitCutTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(DialTimeout):
	}
	return errCut
}
