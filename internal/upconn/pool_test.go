package upconn

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// fakeDetour is a connection through another VM.
type fakeDetour struct{ net.Conn }

func (fakeDetour) Idle() bool { return true }

// TestPool_DetoursEndWithTheirReason guards against a VM that goes on through another one after a partition has healed:
// a connection that is used all the time never expires.
func TestPool_DetoursEndWithTheirReason(t *testing.T) {
	detoured, dials := true, 0
	p := NewPool(func(context.Context, string) (net.Conn, error) {
		dials++
		near, _ := net.Pipe()
		return fakeDetour{near}, nil
	}, func(string) bool { return detoured })
	use := func() {
		c, err := p.Get(context.Background(), "a")
		require.NoError(t, err)
		p.Put(c, http.Header{})
	}
	use()
	use()
	require.Equal(t, 1, dials)
	detoured = false
	use()
	require.Equal(t, 2, dials, "a connection of before isn't used again")
}
