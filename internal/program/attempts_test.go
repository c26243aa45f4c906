package program

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAttempts_LapsedWithoutRenewal(t *testing.T) {
	a := NewAttempts(15*time.Second, 5*time.Second)
	a.Add("x", 0)
	a.Add("y", 0)
	a.Renewed([]string{"y"}, 10*time.Second, nil)
	require.Empty(t, a.Lapsed(15*time.Second-1))
	require.Equal(t, []string{"x"}, a.Lapsed(15*time.Second))
	require.Empty(t, a.Lapsed(16*time.Second), "an expired attempt is reported once")
	require.False(t, a.MayWrite("x", 16*time.Second))
	require.Equal(t, []string{"y"}, a.Lapsed(25*time.Second))
}
