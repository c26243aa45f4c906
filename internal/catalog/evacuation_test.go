package catalog

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func evacuate(zone string, evacuated bool, after uint64) Command {
	return Command{SetEvacuation: &SetEvacuation{Zone: zone, Evacuated: evacuated, After: after}}
}

func requireEvacuated(t *testing.T, m *Machine, version, orders uint64, zones ...string) {
	t.Helper()
	s := m.State()
	require.ElementsMatch(t, zones, s.Evacuated)
	require.IsIncreasing(t, append([]string{""}, s.Evacuated...))
	require.Equal(t, [2]uint64{version, orders}, [2]uint64{s.EvacuationVersion, s.EvacuationOrders})
}

// TestMachine_RepeatedEvacuationChangesNothing guards against a version that rises although the zones are the same:
// every VM would apply the list again.
func TestMachine_RepeatedEvacuationChangesNothing(t *testing.T) {
	m := New(nil)
	require.Equal(t, InForce, apply(t, m, evacuate("b", true, 0)).Outcome)
	require.Equal(t, InForce, apply(t, m, evacuate("a", true, 1)).Outcome)
	requireEvacuated(t, m, 2, 2, "a", "b")
	require.Equal(t, InForce, apply(t, m, evacuate("a", true, 2)).Outcome)
	requireEvacuated(t, m, 2, 3, "a", "b")
	require.Equal(t, InForce, apply(t, m, evacuate("b", false, 3)).Outcome)
	require.Equal(t, InForce, apply(t, m, evacuate("c", false, 4)).Outcome)
	requireEvacuated(t, m, 3, 5, "a")
}

// TestMachine_LateEvacuationUndoesNothing guards against an order that was sent before another one, is applied after it,
// and undoes it. The other one may be an order that changed nothing: it was acknowledged all the same.
func TestMachine_LateEvacuationUndoesNothing(t *testing.T) {
	m := New(nil)
	apply(t, m, evacuate("a", true, 0))
	apply(t, m, evacuate("a", false, 1))
	require.Equal(t, Superseded, apply(t, m, evacuate("a", true, 1)).Outcome)
	requireEvacuated(t, m, 2, 2)
	apply(t, m, evacuate("a", false, 2))
	require.Equal(t, Superseded, apply(t, m, evacuate("a", true, 2)).Outcome)
	requireEvacuated(t, m, 2, 3)
	require.Equal(t, Superseded, apply(t, m, evacuate("a", true, 99)).Outcome)
}

// TestMachine_PublishedEvacuationIsKept guards against a published state that changes later, while VMs read it.
func TestMachine_PublishedEvacuationIsKept(t *testing.T) {
	var published []State
	m := New(func(s State) { published = append(published, s) })
	apply(t, m, evacuate("b", true, 0))
	apply(t, m, evacuate("a", true, 1))
	apply(t, m, evacuate("b", false, 2))
	require.Equal(t, []string{"b"}, published[0].Evacuated)
	require.Equal(t, []string{"a", "b"}, published[1].Evacuated)
	require.Equal(t, []string{"a"}, published[2].Evacuated)
}

// TestMachine_QueryWithoutDocument guards against orders that wait for megabytes of a document which they don't need.
func TestMachine_QueryWithoutDocument(t *testing.T) {
	m := New(nil)
	apply(t, m, put(3, "three"))
	apply(t, m, evacuate("a", true, 0))
	s, err := DecodeState(m.Query(WithoutDocument))
	require.NoError(t, err)
	require.Equal(t, State{Document: Document{Version: 3}, Evacuated: []string{"a"}, EvacuationVersion: 1, EvacuationOrders: 1}, s)
	require.Equal(t, "three", string(m.State().Document.Data), "the state is unchanged")
	s, err = DecodeState(m.Query([]byte{}))
	require.NoError(t, err)
	require.Equal(t, "three", string(s.Document.Data))
}

// TestMachine_SnapshotOfEarlierRelease guards against a snapshot without the zones that can't be restored.
func TestMachine_SnapshotOfEarlierRelease(t *testing.T) {
	type earlierState struct {
		Document    Document   `cbor:"1,keyasint"`
		StoreGroups [][]string `cbor:"2,keyasint"`
		Emptying    []string   `cbor:"3,keyasint"`
	}
	data, err := cbor.Marshal(earlierState{Document: Document{Version: 3}})
	require.NoError(t, err)
	m := New(nil)
	require.NoError(t, m.Restore(data))
	requireEvacuated(t, m, 0, 0)
	require.Equal(t, uint64(3), m.State().Document.Version)
}
