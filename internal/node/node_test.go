package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNode_PanicEndsTheProcess(t *testing.T) {
	n := &Node{failed: make(chan error, 1)}
	n.failOnPanic(func() {})()
	require.Empty(t, n.failed)
	n.failOnPanic(func() { panic("out of range") })()
	require.ErrorContains(t, <-n.failed, "out of range")
}
