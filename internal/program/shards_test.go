package program

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/refusal"
)

// shardsFixture has two program groups and the Shards of one VM.
type shardsFixture struct {
	majority, zone *fakeGroup
	majorityCut    bool // the majority group is unreachable
	*Shards
}

func newShardsFixture() *shardsFixture {
	b := &shardsFixture{majority: &fakeGroup{m: New(DefaultLimits())}, zone: newZoneGroup()}
	b.majority.fail = func(int) fault {
		if b.majorityCut {
			return notProposed
		}
		return noFault
	}
	b.Shards = b.client("vm1")
	return b
}

func newZoneGroup() *fakeGroup {
	g := &fakeGroup{m: NewForZone("z1", DefaultLimits())}
	g.m.EnableChecks()
	return g
}

func (b *shardsFixture) client(vm string) *Shards {
	majority, zone := b.majority.ledger(vm), b.zone.ledger(vm)
	majority.opts.InSight = func() bool { return !b.majorityCut }
	majority.opts.Reader = nil
	zone.opts.Home = "z1"
	return NewShards("z1", majority, zone)
}

var createP = Create{Account: "a", Name: "p", Ceiling: Budget{Tokens: 1000, Calls: 20}}

func (b *shardsFixture) mustCreate(t *testing.T, placement Placement) string {
	t.Helper()
	v, err := b.Create(context.Background(), createP, placement)
	require.NoError(t, err)
	return v.Name
}

func serviceCall(program string, turn uint64) Call {
	return Call{Account: "a", Program: program, Turn: turn, Kind: KindService, RequestHash: "charge",
		Implicit: &Implicit{Ceiling: createP.Ceiling}}
}

func TestShards_OneNameInTwoHomes(t *testing.T) {
	ctx := context.Background()
	b := newShardsFixture()
	b.majorityCut = true
	_, err := b.Create(ctx, createP, PlaceMajority)
	require.Error(t, err, "the name may exist in the majority group, so PlaceMajority uses no other group")
	near := b.mustCreate(t, PlaceAny)
	require.Equal(t, Home("z1"), HomeOf(near))
	require.Equal(t, near, b.mustCreate(t, PlaceZone), "a repeated Create returns the same program")
	begun, err := b.Begin(ctx, serviceCall(near, 1))
	require.NoError(t, err)
	_, err = b.Begin(ctx, serviceCall("p", 1))
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)

	b.majorityCut = false
	require.Equal(t, "p", b.mustCreate(t, PlaceAny))
	_, err = b.Begin(ctx, serviceCall("p", 1))
	require.NoError(t, err, "the program of the same name in the majority group has its own turns")
	_, err = b.Complete(ctx, Complete{Account: "a", Program: near, Attempt: begun.Started.Attempt, Answer: []byte("done"), Status: 200})
	require.NoError(t, err)
	again, err := b.client("vm2").Begin(ctx, serviceCall(near, 1))
	require.NoError(t, err)
	require.Equal(t, "done", string(again.Answered.Answer), "the recorded answer is available on any VM")

	child, err := b.Create(ctx, Create{Account: "a", Name: "p", Parent: near, Ceiling: createP.Ceiling}, "")
	require.Error(t, err, "the name is already used in the home of the parent: %v", child)
	child, err = b.Create(ctx, Create{Account: "a", Name: "c", Parent: near, Ceiling: createP.Ceiling}, "")
	require.NoError(t, err)
	require.Equal(t, Home("z1"), HomeOf(child.Name), "a sub-agent has the home of its parent")
	_, err = b.Create(ctx, Create{Account: "a", Name: "c", Parent: "p", Ceiling: createP.Ceiling}, PlaceZone)
	require.Error(t, err, "a sub-agent can't have another home than its parent, because one group keeps the budget")

	page, err := b.List(ctx, ListQuery{Account: "a", Limit: 2})
	require.NoError(t, err)
	require.Equal(t, []string{"p", child.Name}, []string{page.Programs[0].Name, page.Programs[1].Name})
	require.True(t, page.More)
	b.majorityCut = true
	page, err = b.List(ctx, ListQuery{Account: "a", After: child.Name})
	require.NoError(t, err)
	require.Len(t, page.Programs, 1)
	require.Equal(t, []string{"majority"}, page.Silent)
}

func TestShards_FailsFastWithoutMajority(t *testing.T) {
	b := newShardsFixture()
	b.majorityCut = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := b.Begin(ctx, serviceCall("p", 0))
	require.NoError(t, ctx.Err())
	r := Refusal(err)
	require.Equal(t, refusal.True, r.NotRun)
	require.Equal(t, unavailableRetry, r.RetryAfter)
}

// TestShards_ZoneGroupLostItsDisks replaces the zone's group by a new one with empty disks. Turns
// that programs of the lost group ran must not run again.
func TestShards_ZoneGroupLostItsDisks(t *testing.T) {
	ctx := context.Background()
	b := newShardsFixture()
	lost := b.mustCreate(t, PlaceZone)
	_, err := b.Begin(ctx, serviceCall(lost, 1))
	require.NoError(t, err)
	b.zone.m = newZoneGroup().m
	for range 2 {
		_, err = b.Begin(ctx, serviceCall(lost, 1))
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, CodeNoProgram, refused.Result.Code)
		require.Equal(t, refusal.Unknown, Refusal(err).NotRun)
		require.NotEqual(t, lost, b.mustCreate(t, PlaceZone), "the new group gives the same name another token")
	}
	_, err = b.Begin(ctx, serviceCall("zone:z9:0123456789abcdef:p", 1))
	require.Equal(t, refusal.Unknown, Refusal(err).NotRun, "a program in a zone that this VM has no ledger for")
	require.Empty(t, b.majority.m.accounts, "no group creates a program with the qualified name of another group")
}

func TestShards_LeasesAreRenewedByHome(t *testing.T) {
	ctx := context.Background()
	b := newShardsFixture()
	near, err := b.Begin(ctx, serviceCall(b.mustCreate(t, PlaceZone), 1))
	require.NoError(t, err)
	far, err := b.Begin(ctx, serviceCall("p", 1))
	require.NoError(t, err)
	attempts := []string{near.Started.Attempt, far.Started.Attempt}
	renewed, lost := b.Renew(ctx, attempts)
	require.ElementsMatch(t, attempts, renewed)
	require.Empty(t, lost)
	b.majorityCut = true
	limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	renewed, _ = b.Renew(limited, attempts)
	require.Equal(t, attempts[:1], renewed, "the unreachable group renewed nothing")
}

// TestShards_ReportKeepsSessionsOfOtherHomes repeatedly reports sessions in use by programs of both
// groups, together with sessions without a record. Only the latter must be released.
func TestShards_ReportKeepsSessionsOfOtherHomes(t *testing.T) {
	ctx := context.Background()
	b := newShardsFixture()
	report := Report{Engine: "e", EngineIncarnation: 1, Sessions: []string{"nobody.1", "z1~nobody.1", "elsewhere~nobody.1"}}
	for _, name := range []string{"p", b.mustCreate(t, PlaceZone)} {
		begun, err := b.Begin(ctx, serviceCall(name, 1))
		require.NoError(t, err)
		report.Sessions = append(report.Sessions, begun.Started.NewSession)
	}
	now := time.UnixMilli(1_000_000)
	for _, l := range b.Ledgers() {
		l.opts.Now = func() time.Time { return now }
	}
	for range 3 {
		require.NoError(t, b.Report(ctx, report))
		now = now.Add(DefaultLimits().ReportAge)
	}
	var released []string
	for _, l := range b.Ledgers() {
		pending, err := l.PendingReleases(ctx, ReleasesQuery{})
		require.NoError(t, err)
		for _, r := range pending {
			released = append(released, r.Session)
		}
	}
	require.ElementsMatch(t, report.Sessions[:3], released)
}

func TestMachine_ZoneTokenSurvivesRestore(t *testing.T) {
	b := newShardsFixture()
	name := b.mustCreate(t, PlaceZone)
	data, err := b.zone.m.Snapshot()
	require.NoError(t, err)
	b.zone.m = newZoneGroup().m
	require.NoError(t, b.zone.m.Restore(data))
	require.Equal(t, name, b.mustCreate(t, PlaceZone))
	require.NoError(t, errors.Wrap(b.zone.m.checkInvariants(), name))
}

func TestHome_OnlyCompleteNamesAreQualified(t *testing.T) {
	for _, plain := range []string{"p", "zone:", "zone:z1:p", "zone:z1:0123456789ABCDEF:p", "zone:z1:0123456789abcdef:", "zone::0123456789abcdef:p"} {
		require.Equal(t, MajorityHome, HomeOf(plain), plain)
	}
	require.Equal(t, Home("z1"), HomeOf("zone:z1:0123456789abcdef:p:q"))
}
