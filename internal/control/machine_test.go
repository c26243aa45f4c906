package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
)

// fileText returns a configuration file with one account that has the given keys, each "id" or
// "id=secret". The secret defaults to the ID.
func fileText(generation int, keys ...string) string {
	var list []string
	for _, key := range keys {
		id, secret, found := strings.Cut(key, "=")
		if !found {
			secret = id
		}
		list = append(list, fmt.Sprintf(`{"id": %q, "sha256": %q}`, id, config.HashKey(secret)))
	}
	return fmt.Sprintf(`{"generation": %d, "schemes": [], "models": [], "services": [], "routes": [], "upstreams": [],
		"client_accounts": [{"id": "opera", "rate_per_second": 1, "burst": 1, "keys": [%s]}]}`, generation, strings.Join(list, ","))
}

func applyCommand(text, operator string) Command {
	return Command{ApplyConfig: &ApplyConfig{Text: text, Hash: HashText(text), Operator: operator}}
}

// applyNext applies a command at the next log index.
func applyNext(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	data, err := c.Encode()
	require.NoError(t, err)
	r, err := DecodeResult(m.Apply(m.index+1, data))
	require.NoError(t, err)
	return r
}

func apply(t *testing.T, m *Machine, text, operator string) Result {
	t.Helper()
	return applyNext(t, m, applyCommand(text, operator))
}

func restored(t *testing.T, m *Machine) *Machine {
	t.Helper()
	data, err := m.Snapshot()
	require.NoError(t, err)
	fresh := New()
	require.NoError(t, fresh.Restore(data))
	again, err := fresh.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
	return fresh
}

func TestMachine_ConcurrentApplyAcceptsOneFile(t *testing.T) {
	m := New()
	won := apply(t, m, fileText(1, "a"), "ana")
	lost := apply(t, m, fileText(1, "b"), "ben")
	require.Equal(t, "ana", won.Applied.Operator)
	require.Equal(t, CodeGenerationTaken, lost.Refusal.Code)
	require.Equal(t, won.Applied.Acceptance, *lost.Refusal.InForce)
	require.Contains(t, lost.Refusal.Message, `"ana"`)

	apply(t, m, fileText(3, "a"), "ana")
	old := apply(t, m, fileText(2, "a"), "ben")
	require.Equal(t, CodeGenerationOld, old.Refusal.Code)
	require.EqualValues(t, 3, old.Refusal.InForce.Generation)
}

func TestMachine_ResendReturnsFirstResult(t *testing.T) {
	m := New()
	first := apply(t, m, fileText(1, "a"), "ana")
	require.Equal(t, first, apply(t, m, fileText(1, "a"), "ana"))
	m = restored(t, m)
	require.Equal(t, first, apply(t, m, fileText(1, "a"), "ben"))

	apply(t, m, fileText(2), "ben")
	applyNext(t, m, Command{WithdrawKeys: &WithdrawKeys{IDs: []string{"a"}}})
	late := apply(t, m, fileText(1, "a"), "ana")
	require.Equal(t, first.Applied.Acceptance, late.Applied.Acceptance)
	require.EqualValues(t, 2, late.Applied.InForce)
	require.EqualValues(t, 2, m.View().Config.Generation, "a resend must not revert the configuration")
}

func TestMachine_WithdrawnKeysStayWithdrawn(t *testing.T) {
	m := New()
	apply(t, m, fileText(1, "a", "b", "c"), "ana")
	r := applyNext(t, m, Command{WithdrawKeys: &WithdrawKeys{IDs: []string{"b", "x", "b"}}})
	require.Equal(t, &Withdrawn{Now: []string{"b"}, Unknown: []string{"x"}}, r.Withdrawn)
	r = applyNext(t, m, Command{WithdrawKeys: &WithdrawKeys{IDs: []string{"b"}}})
	require.Equal(t, &Withdrawn{Already: []string{"b"}}, r.Withdrawn)

	apply(t, m, fileText(2, "a"), "ana") // leaves out c
	m = restored(t, m)
	for _, keys := range [][]string{{"a", "b"}, {"a", "c"}, {"a", "new=c"}, {"a", "c=new"}} {
		r = apply(t, m, fileText(3, keys...), "ana")
		require.Equal(t, CodeWithdrawnKey, r.Refusal.Code)
		require.Equal(t, []string{keys[1][:len(r.Refusal.KeyIDs[0])]}, r.Refusal.KeyIDs)
	}
	require.EqualValues(t, 2, m.View().Config.Generation)
	require.Len(t, m.View().Withdrawn, 2)
}

func TestMachine_KeyKeepsItsIDAndHash(t *testing.T) {
	m := New()
	apply(t, m, fileText(1, "a"), "ana")
	for _, key := range []string{"a=other", "other=a"} {
		r := apply(t, m, fileText(2, key), "ana")
		require.Equal(t, CodeKeyReused, r.Refusal.Code)
	}
	require.Empty(t, m.View().Withdrawn, "a refused file must not withdraw keys")
}

func TestMachine_BadFileIsRefusedWithProblems(t *testing.T) {
	m := New()
	r := apply(t, m, `{"generation": 0}`, "ana")
	require.Equal(t, CodeBadFile, r.Refusal.Code)
	require.Greater(t, len(r.Refusal.Problems), 1)
	require.Zero(t, m.View().Config.Generation)
}

func TestMachine_Membership(t *testing.T) {
	m := New()
	register := func(incarnation int64, address string) Result {
		return applyNext(t, m, Command{RegisterVM: &RegisterVM{VM: "a1", Zone: "a", Incarnation: incarnation, Addresses: Addresses{Peers: address}}})
	}
	remove := func(incarnation int64) Result {
		return applyNext(t, m, Command{RemoveVM: &RemoveVM{VM: "a1", Incarnation: incarnation}})
	}
	require.Equal(t, &MembersChange{Epoch: 1, Changed: true}, register(5, "x").Members)
	require.Equal(t, &MembersChange{Epoch: 1}, register(5, "x").Members)
	require.Equal(t, CodeOldIncarnation, register(4, "x").Refusal.Code)
	require.Equal(t, CodeOldIncarnation, register(5, "y").Refusal.Code)
	require.Equal(t, &MembersChange{Epoch: 2, Changed: true}, register(6, "y").Members)
	require.Equal(t, CodeOldIncarnation, remove(5).Refusal.Code)
	require.Equal(t, &MembersChange{Epoch: 3, Changed: true}, remove(6).Members)
	require.Equal(t, &MembersChange{Epoch: 3}, remove(6).Members)
	m = restored(t, m)
	require.Equal(t, CodeOldIncarnation, register(6, "y").Refusal.Code, "a delayed registration must be refused")
	require.Equal(t, &MembersChange{Epoch: 4, Changed: true}, register(7, "y").Members)
}

func TestMachine_FencingNumbersIncreaseAcrossResources(t *testing.T) {
	m := New()
	for i := 1; i <= maxFencedResources+10; i++ {
		number := m.fencing.issue(&IssueFencing{Resource: fmt.Sprint("e", i), Holder: "a1"}).Number
		require.EqualValues(t, i, number)
	}
	require.Len(t, m.fencing.byResource, maxFencedResources)
	require.NotContains(t, m.fencing.byResource, "e10")
	m = restored(t, m)
	r := applyNext(t, m, Command{IssueFencing: &IssueFencing{Resource: "e1", Holder: "b1"}})
	require.EqualValues(t, maxFencedResources+11, r.Fencing.Number)
}

func TestMachine_RepeatedIndexChangesNothing(t *testing.T) {
	m := New()
	data, _ := Command{IssueFencing: &IssueFencing{Resource: "e", Holder: "a"}}.Encode()
	m.Apply(7, data)
	r, _ := DecodeResult(m.Apply(7, data))
	require.Equal(t, CodeAlreadyApplied, r.Refusal.Code)
	require.EqualValues(t, 1, m.fencing.last)
}

func TestMachine_RestoreRefusesBadSnapshots(t *testing.T) {
	m := New()
	apply(t, m, fileText(2, "a"), "ana")
	apply(t, m, fileText(3, "b"), "ana")
	data, err := m.Snapshot()
	require.NoError(t, err)
	for _, change := range [][2]string{
		{`"version":1`, `"version":2`},
		{`"generation":3`, `"generation":4`},
		{`\"burst\": 1`, `\"burst\": 2`},
		{`"sequence":1`, `"sequence":2`},
		{`"index":2,"config"`, `"index":1,"config"`},
		{`"epoch":0,"vms":null`, `"epoch":0,"vms":[{"vm":"a","epoch":1}]`},
		{`"keys"`, `"kees"`},
		{string(data[len(data)/2:]), ``},
	} {
		bad := strings.Replace(string(data), change[0], change[1], 1)
		require.NotEqual(t, string(data), bad, change[0])
		require.ErrorIs(t, m.Restore([]byte(bad)), ErrSnapshot, change[0])
	}
	after, _ := m.Snapshot()
	require.Equal(t, data, after)
}

func TestMachine_InvariantsDetectCorruptState(t *testing.T) {
	for name, corrupt := range map[string]func(*Machine){
		"generation": func(m *Machine) { m.config.Generation = 1 },
		"text":       func(m *Machine) { m.config.Hash = "x" },
		"withdrawn":  func(m *Machine) { delete(m.withdrawn.byID, "a") },
		"epoch":      func(m *Machine) { m.members.epoch-- },
		"fencing":    func(m *Machine) { m.fencing.last-- },
		"in force": func(m *Machine) {
			text := fileText(3, "a")
			file, _ := config.Parse("f", []byte(text))
			m.activateConfig(file, applyCommand(text, "x").ApplyConfig)
		},
	} {
		m := New()
		apply(t, m, fileText(1, "a"), "ana")
		apply(t, m, fileText(2, "b"), "ana")
		applyNext(t, m, Command{IssueFencing: &IssueFencing{Resource: "e", Holder: "a"}})
		applyNext(t, m, Command{RegisterVM: &RegisterVM{VM: "a", Zone: "a", Incarnation: 1}})
		corrupt(m)
		require.Panics(t, m.checkInvariants, name)
	}
}

func TestCommand_EncodeRefusesInvalidCommands(t *testing.T) {
	for _, c := range []Command{
		{},
		{WithdrawKeys: &WithdrawKeys{}},
		{WithdrawKeys: &WithdrawKeys{IDs: make([]string, MaxWithdrawnIDs+1)}},
		{RemoveVM: &RemoveVM{VM: "a", Incarnation: 1}, WithdrawKeys: &WithdrawKeys{IDs: []string{"a"}}},
		{RemoveVM: &RemoveVM{VM: "a"}},
		{RegisterVM: &RegisterVM{VM: "a", Incarnation: 1}},
		{IssueFencing: &IssueFencing{Resource: strings.Repeat("e", MaxNameLength+1), Holder: "a"}},
		{ApplyConfig: &ApplyConfig{Text: "x", Hash: HashText("y"), Operator: "ana"}},
		{ApplyConfig: &ApplyConfig{Text: "x", Hash: HashText("x")}},
		applyCommand(strings.Repeat(" ", MaxTextBytes+1), "ana"),
	} {
		_, err := c.Encode()
		require.ErrorIs(t, err, ErrCommand)
	}
	_, err := DecodeCommand([]byte(`{"withdraw_keys":{"ids":["a"]}} {}`))
	require.ErrorIs(t, err, ErrCommand)
	_, err = NewApplyConfig("f", []byte("{}"), "ana", "")
	require.ErrorContains(t, err, "f:1:1: generation: this field is missing")
}

func FuzzDecodeCommand(f *testing.F) {
	seed, _ := applyCommand(fileText(1, "a"), "ana").Encode()
	f.Add(seed)
	f.Add([]byte(`{"register_vm":{"vm":"a","zone":"a","incarnation":1,"addresses":{}}}`))
	f.Add([]byte(`{"withdraw_keys":{"ids":["a"]},"remove_vm":null}`))
	f.Add([]byte(`{"issue_fencing":{"resource":"e","holder":"a"}} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		r, err := DecodeResult(m.Apply(1, data))
		require.NoError(t, err)
		c, err := DecodeCommand(data)
		require.Equal(t, err != nil, r.Refusal != nil && r.Refusal.Code == CodeMalformed)
		if err != nil {
			require.ErrorIs(t, err, ErrCommand)
			return
		}
		again, err := c.Encode()
		require.NoError(t, err)
		decoded, err := DecodeCommand(again)
		require.NoError(t, err)
		require.Equal(t, c, decoded)
	})
}

func TestMachine_SplitsFollowZonesAndLimits(t *testing.T) {
	m := New()
	apply(t, m, fileText(1, "a"), "ana")
	require.Equal(t, uint64(0), m.View().Splits.Split, "a new account must not change the split")
	applyNext(t, m, Command{RegisterVM: &RegisterVM{VM: "a1", Zone: "a", Incarnation: 1}})
	first := m.View()
	require.True(t, first.Consistent())
	require.Equal(t, uint64(1), first.Splits.Split, "a new zone gets a part of each bucket")
	applyNext(t, m, Command{RegisterVM: &RegisterVM{VM: "a2", Zone: "a", Incarnation: 1}})
	require.Equal(t, first.Splits.Split, m.View().Splits.Split, "a second VM in a zone must not change the split")

	applyNext(t, m, Command{RecordAgreedSplit: &RecordAgreedSplit{Split: 9}})
	require.Zero(t, m.View().Splits.Agreed, "a split that does not exist must not become agreed")
	applyNext(t, m, Command{RecordAgreedSplit: &RecordAgreedSplit{Split: 1}})
	require.Equal(t, uint64(1), m.View().Splits.Agreed)

	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, m.View(), restored.View())
	applyNext(t, restored, Command{RegisterVM: &RegisterVM{VM: "b1", Zone: "b", Incarnation: 1}})
	require.Equal(t, uint64(2), restored.View().Splits.Split)

	f := NewFollower()
	f.Merge(m.View().Delta())
	require.True(t, f.View().Consistent())
	apply(t, m, fileText(2, "a"), "ana")
	f.Merge(Delta{Config: m.View().Delta().Config})
	require.False(t, f.View().Consistent(), "a new configuration without its splits is inconsistent")
	f.Merge(m.DeltaFor(f.Digest()))
	require.True(t, f.View().Consistent())
}
