package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/membership"
)

func TestLeaseResponder_TargetsAllControlVMsUntilAnswered(t *testing.T) {
	all := []string{"a", "b", "c"}
	request := func(sequence uint64) *membership.RenewRequest {
		return &membership.RenewRequest{Sequence: sequence}
	}
	answer := func(sequence uint64, control bool) *membership.RenewAnswer {
		return &membership.RenewAnswer{Sequence: sequence, Control: control}
	}
	var responder leaseResponder
	require.Equal(t, all, responder.targets(request(1), all))
	require.Equal(t, all, responder.targets(request(2), all), "no request was answered")
	responder.recordAnswer("b", answer(2, true))
	require.Equal(t, []string{"b"}, responder.targets(request(3), all))
	require.Equal(t, all, responder.targets(nil, all), "a goodbye is not answered")
	responder.recordAnswer("b", answer(3, true))
	require.Equal(t, []string{"b"}, responder.targets(request(4), all))
	responder.recordAnswer("b", answer(3, true))
	require.Equal(t, all, responder.targets(request(5), all), "b answered an earlier request, but not the last one")
	responder.recordAnswer("x", answer(5, false))
	require.Equal(t, all, responder.targets(request(6), all), "an answer from a VM of the zone, not from a control VM")
	responder.recordAnswer("c", answer(6, true))
	responder.recordAnswer("b", answer(2, true))
	require.Equal(t, []string{"c"}, responder.targets(request(7), all), "a late answer from a previous leader is ignored")
}
