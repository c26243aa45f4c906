package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNode_GuardedPanicEndsTheProcess(t *testing.T) {
	n := &Node{failed: make(chan error, 1)}
	n.guard(func() {})()
	require.Empty(t, n.failed)
	n.guard(func() { panic("out of range") })()
	require.ErrorContains(t, <-n.failed, "out of range")
}
