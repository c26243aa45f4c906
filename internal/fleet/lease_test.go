package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/membership"
)

func TestGranter_AsksAllWhileNobodyAnswers(t *testing.T) {
	all := []string{"a", "b", "c"}
	request := func(sequence uint64) *membership.RenewRequest {
		return &membership.RenewRequest{Sequence: sequence}
	}
	answer := func(sequence uint64, control bool) *membership.RenewAnswer {
		return &membership.RenewAnswer{Sequence: sequence, Control: control}
	}
	var g granter
	require.Equal(t, all, g.next(request(1), all))
	require.Equal(t, all, g.next(request(2), all), "nobody answered")
	g.note("b", answer(2, true))
	require.Equal(t, []string{"b"}, g.next(request(3), all))
	require.Equal(t, all, g.next(nil, all), "a goodbye is not answered")
	g.note("b", answer(3, true))
	require.Equal(t, []string{"b"}, g.next(request(4), all))
	g.note("b", answer(3, true))
	require.Equal(t, all, g.next(request(5), all), "b answered the request before, not the last one")
	g.note("x", answer(5, false))
	require.Equal(t, all, g.next(request(6), all), "a VM of the zone is not control")
	g.note("c", answer(6, true))
	g.note("b", answer(2, true))
	require.Equal(t, []string{"c"}, g.next(request(7), all), "a late answer of an earlier leader changes nothing")
}
