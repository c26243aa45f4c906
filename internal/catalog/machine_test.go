package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func apply(t *testing.T, m *Machine, c Command) Result {
	data, err := c.Encode()
	require.NoError(t, err)
	r, err := DecodeResult(m.Apply(1, data))
	require.NoError(t, err)
	return r
}

func put(version uint64, data string) Command {
	return Command{PutDocument: &PutDocument{Version: version, Data: []byte(data)}}
}

func TestMachine_HighestVersionIsActive(t *testing.T) {
	var published []State
	m := New(func(s State) { published = append(published, s) })
	require.Equal(t, Result{InForce, 5}, apply(t, m, put(5, "five")))
	require.Equal(t, Result{InForce, 5}, apply(t, m, put(5, "five")), "same document again")
	require.Equal(t, Result{Conflict, 5}, apply(t, m, put(5, "other")))
	require.Equal(t, Result{Superseded, 5}, apply(t, m, put(4, "four")))
	require.Equal(t, Result{InForce, 9}, apply(t, m, put(9, "nine")))
	require.Equal(t, Result{Superseded, 9}, apply(t, m, put(5, "five")))
	require.Len(t, published, 2)

	state, err := DecodeState(m.Query(nil))
	require.NoError(t, err)
	require.Equal(t, Document{9, []byte("nine")}, state.Document)
}

func TestMachine_SnapshotHoldsCompleteState(t *testing.T) {
	m := New(nil)
	apply(t, m, put(2, "two"))
	apply(t, m, Command{FormStore: &FormStore{Groups: [][]string{{"a", "b"}, {"b", "c"}}}})
	apply(t, m, Command{FormStore: &FormStore{Groups: [][]string{{"c"}}}})
	apply(t, m, Command{EmptyVM: &EmptyVM{VM: "b"}})
	apply(t, m, Command{EmptyVM: &EmptyVM{VM: "b"}})
	apply(t, m, evacuate("z", true, 0))
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New(nil)
	require.NoError(t, restored.Restore(data))
	require.Equal(t, m.State(), restored.State())
	require.Equal(t, State{
		Document: Document{2, []byte("two")}, StoreGroups: [][]string{{"a", "b"}, {"b", "c"}}, Emptying: []string{"b"},
		Evacuated: []string{"z"}, EvacuationVersion: 1, EvacuationOrders: 1,
	}, restored.State())
	require.Error(t, restored.Restore([]byte("?")))
}
