package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/fakes"
	"egretramp/internal/groups"
	"egretramp/internal/raft/storage"
	"egretramp/internal/settings"
)

// isolateZone cuts the links between the VMs of a zone and all others, in both directions.
func (f *testFleet) isolateZone(zone string) {
	for _, d := range f.daemons {
		d.node.Cut(f.otherSideOf(d, zone))
	}
}

// otherSideOf returns the VMs that are on the other side from d when a zone is isolated.
func (f *testFleet) otherSideOf(d *Daemon, zone string) []string {
	var vms []string
	for _, other := range f.daemons {
		if (other.settings.Zone == zone) != (d.settings.Zone == zone) {
			vms = append(vms, other.settings.VM)
		}
	}
	return vms
}

// restart stops a VM and starts it again with the links to some VMs cut.
func (f *testFleet) restart(vm int, cut []string) {
	f.t.Helper()
	f.stop(vm)
	f.startStopped(vm, cut)
}

func (f *testFleet) stop(vm int) {
	f.stops[vm]()
	<-f.ended[vm]
}

// startStopped starts a stopped VM again, with the links to some VMs cut.
func (f *testFleet) startStopped(vm int, cut []string) {
	f.t.Helper()
	d, err := New(f.daemons[vm].settings, "test")
	require.NoError(f.t, err)
	d.node.Cut(cut)
	f.run(d)
	last := len(f.daemons) - 1
	f.daemons[vm], f.stops[vm], f.ended[vm] = f.daemons[last], f.stops[last], f.ended[last]
	f.daemons, f.stops, f.ended = f.daemons[:last], f.stops[:last], f.ended[:last]
}

// createdProgram is the response to creating or reading a program.
type createdProgram struct {
	ID         string `json:"id"`
	Home       string `json:"home"`
	NextTurn   int    `json:"next_turn"`
	TokensUsed int64  `json:"tokens_used"`
	CallsUsed  int64  `json:"calls_used"`
	State      string `json:"state"`
}

func (r reply) program(t testing.TB) createdProgram {
	t.Helper()
	require.Equal(t, http.StatusOK, r.status, r.body)
	var p createdProgram
	require.NoError(t, json.Unmarshal([]byte(r.body), &p))
	return p
}

func (f *testFleet) create(vm int, body string) reply {
	return f.send(vm, http.MethodPost, "/v1/programs", keyAna, body)
}

func (f *testFleet) chatTurn(vm int, id string, turn int) reply {
	body := chatBody(f.t, []fakes.Message{user(fmt.Sprintf("turn %d", turn))}, false)
	return f.send(vm, http.MethodPost, "/v1/programs/"+id+"/turns", keyAna, body, headerTurn, fmt.Sprint(turn))
}

func (f *testFleet) deposit(vm int, id string, turn int) reply {
	return f.send(vm, http.MethodPost, "/v1/services/deposit/charge", keyAna, fmt.Sprintf(`{"for":%q,"turn":%d}`, id, turn),
		headerProgram, id, headerTurn, fmt.Sprint(turn))
}

// TestFleet_ProgramsInIsolatedZone runs new programs in an isolated zone, across a restart of the zone's
// only control VM, while a program of the same name runs on the other side. After the links are restored
// all programs must continue on every VM, with each deposit run once.
func TestFleet_ProgramsInIsolatedZone(t *testing.T) {
	f := newTestFleetOf(t, 9, func(*settings.Settings) {}) // vm2 with the data folder, vm5 and vm8 are in zone2
	file := baseFile(1)
	file.CutoffLimitSeconds = 3600
	f.apply(file)
	f.engine("engine-0", "zone0")
	f.engine("engine-2", "zone2")
	near := f.service("deposit-0", "zone0", "deposit")
	far := f.service("deposit-2", "zone2", "deposit")
	f.waitForReplicas(4)
	old := f.create(5, `{"name":"old"}`).program(t)
	require.Equal(t, "majority", old.Home)
	require.Equal(t, http.StatusOK, f.deposit(5, "old", 1).status)

	f.isolateZone("zone2")
	f.eventually("the isolated zone is still connected to a majority", func() bool { return !f.daemons[5].majorityConnected(f.daemons[5].homes[0]) })
	f.retryUntilOK("a chat completion in the isolated zone", func() reply {
		return f.send(5, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("a wig")}, false))
	})
	t.Run("MajorityProgramIsRefusedAtOnce", func(t *testing.T) {
		begun := time.Now()
		r := f.deposit(5, "old", 2)
		require.Less(t, time.Since(begun), time.Second)
		code, notRun := r.refusal(t)
		require.Equal(t, "programs_unavailable", code)
		require.Equal(t, "unknown", notRun, "not_run must be unknown: the turn may have run through another VM")
		require.NotEmpty(t, r.header.Get("Retry-After"))
		r = f.send(5, http.MethodPost, "/v1/services/deposit/charge", keyAna, "{}", headerProgram, "old")
		code, notRun = r.refusal(t)
		require.Equal(t, []string{"programs_unavailable", "true"}, []string{code, notRun})
		r = f.send(5, http.MethodPost, "/v1/services/deposit/charge", keyAna, "{}", "Idempotency-Key", "plain")
		code, _ = r.refusal(t)
		require.Equal(t, "programs_unavailable", code, "a call with this idempotency key may have run on the other side")
		r = f.create(5, `{"name":"old"}`)
		code, notRun = r.refusal(t)
		require.Equal(t, []string{"programs_unavailable", "true"}, []string{code, notRun}, "a program of this name may exist on the other side")
	})
	inZone := f.create(5, `{"name":"quote","home":"any"}`).program(t)
	require.Equal(t, "zone:zone2", inZone.Home)
	require.Equal(t, inZone, f.create(8, `{"name":"quote","home":"any"}`).program(t), "creating it again must return the same program")
	f.retryUntilOK("a chat turn in the zone", func() reply { return f.chatTurn(5, inZone.ID, 1) })
	charged := f.retryUntilOK("a deposit in the zone", func() reply { return f.deposit(8, inZone.ID, 2) })

	f.retryUntilOK("a chat completion with a key", func() reply {
		body := chatBody(t, []fakes.Message{user("a quote")}, false)
		return f.send(5, http.MethodPost, "/v1/chat/completions", keyAna, body, "Idempotency-Key", "chat")
	})

	outside := f.create(0, `{"name":"quote"}`).program(t)
	require.Equal(t, "quote", outside.ID)
	f.retryUntilOK("a deposit on the other side", func() reply { return f.deposit(1, "quote", 1) })

	f.restart(2, f.otherSideOf(f.daemons[2], "zone2"))
	f.retryUntilOK("a chat turn after the restart", func() reply { return f.chatTurn(8, inZone.ID, 3) })
	again := f.deposit(5, inZone.ID, 2)
	require.Equal(t, charged.body, again.body, "the repeated deposit must be answered from the record")

	f.heal()
	f.waitForLeases()
	for vm := range f.daemons {
		for _, p := range []struct {
			id   string
			kept int
		}{{"old", 1}, {"quote", 1}, {inZone.ID, 3}} {
			f.retryUntilOK(f.daemons[vm].settings.VM+" continues "+p.id, func() reply { return f.deposit(vm, p.id, p.kept+vm+1) })
		}
	}
	for _, id := range []string{"old", "quote"} {
		require.Equal(t, 1+len(f.daemons)+1, f.read(4, id).NextTurn)
	}
	require.Equal(t, 3+len(f.daemons)+1, f.read(4, inZone.ID).NextTurn)
	require.Len(t, append(near.Runs(), far.Runs()...), 1+1+1+3*len(f.daemons), "each deposit must run exactly once")
	require.Equal(t, "ended", f.send(1, http.MethodPost, "/v1/programs/"+inZone.ID+"/end", keyAna, "").program(t).State)
	t.Run("JoinGroupOnOldFolder", func(t *testing.T) { testJoinGroupOnOldFolder(t, f) })
}

// testJoinGroupOnOldFolder starts a control VM on a data folder of an earlier release, which has only the
// groups 1 and 2.
func testJoinGroupOnOldFolder(t *testing.T, f *testFleet) {
	lost := f.create(4, `{"name":"new","home":"zone"}`).program(t)
	f.stop(1)
	require.NoError(t, os.Remove(storage.Path(f.daemons[1].settings.DataFolder, groups.Zone("zone1"))))
	f.startStopped(1, nil)
	created := f.retryUntilOK("a program in the new group", func() reply { return f.create(4, `{"name":"new","home":"zone"}`) }).program(t)
	require.Equal(t, lost.Home, created.Home)
	require.NotEqual(t, lost.ID, created.ID, "the new program must not share the lost program's ID")
	code, notRun := f.deposit(0, lost.ID, 1).refusal(t)
	require.Equal(t, []string{"no_program", "unknown"}, []string{code, notRun})
}

// retryUntilOK repeats a call until it succeeds. Each refusal must have a Retry-After header.
func (f *testFleet) retryUntilOK(what string, send func() reply) reply {
	f.t.Helper()
	var r reply
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if r = send(); r.status == http.StatusOK {
			return r
		}
		require.NotEmpty(f.t, r.header.Get("Retry-After"), "%s: %s", what, r.body)
	}
	require.Fail(f.t, what, r.body)
	return r
}

func (f *testFleet) read(vm int, id string) createdProgram {
	return f.send(vm, http.MethodGet, "/v1/programs/"+id, keyAna, "").program(f.t)
}
