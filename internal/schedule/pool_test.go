package schedule

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation drives a pool with random events and tracks the state that its host can observe.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	pool    *Pool
	now     time.Duration
	serial  int
	waiting map[string]Request
	running map[string]Grant
	granted map[string]bool
	present map[string]int64
}

func newSimulation(t *testing.T, seed int64, opts Options) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewSource(seed)), pool: New(opts),
		waiting: map[string]Request{}, running: map[string]Grant{}, granted: map[string]bool{}, present: map[string]int64{},
	}
	for i := range 4 {
		w.setReplica(fmt.Sprintf("r%d", i))
	}
	return w
}

func (w *simulation) setReplica(name string) {
	if w.present[name] == 0 || w.random.Intn(20) == 0 {
		w.present[name] = int64(w.now) + 1
	}
	w.pool.SetReplica(w.now, Replica{
		Name: name, Incarnation: w.present[name], Slots: 4, KVTokens: 20_000,
		Running: w.random.Intn(6), Waiting: w.random.Intn(2), ReportedAt: w.now,
	})
}

func (w *simulation) request() Request {
	w.serial++
	r := Request{
		ID:           fmt.Sprintf("q%d", w.serial),
		Account:      fmt.Sprintf("a%d", w.random.Intn(5)),
		Weight:       float64(1 + w.random.Intn(3)),
		PromptTokens: int64(w.random.Intn(6000)),
		MaxTokens:    int64(1 + w.random.Intn(1000)),
	}
	if w.random.Intn(4) > 0 {
		r.Program = fmt.Sprintf("%s/p%d", r.Account, w.random.Intn(30))
		r.Root = fmt.Sprintf("%s/p%d", r.Account, w.random.Intn(30))
		r.Resident = fmt.Sprintf("r%d", w.random.Intn(6))
	}
	if w.random.Intn(8) == 0 {
		r.Avoid = []string{fmt.Sprintf("r%d", w.random.Intn(4)), fmt.Sprintf("r%d", w.random.Intn(4))}
		r.Alone = w.random.Intn(2) == 0
	}
	if w.random.Intn(40) == 0 {
		r.PromptTokens = 19_500 + int64(w.random.Intn(1000))
	}
	return r
}

// step triggers one event and carries out the plan.
func (w *simulation) step() {
	w.now += time.Duration(w.random.Intn(200)) * time.Millisecond
	switch n := w.random.Intn(20); {
	case n < 9:
		r := w.request()
		w.waiting[r.ID] = r
		w.pool.Enqueue(w.now, r)
	case n < 16:
		w.finishOne()
	case n == 16:
		if ids := sortedKeys(w.waiting); len(ids) > 0 {
			delete(w.waiting, ids[0])
			w.pool.Cancel(w.now, ids[0])
		}
	case n == 17:
		w.setReplica(fmt.Sprintf("r%d", w.random.Intn(4)))
	case n == 18 && w.random.Intn(6) == 0:
		name := fmt.Sprintf("r%d", w.random.Intn(4))
		delete(w.present, name)
		w.pool.RemoveReplica(w.now, name)
	case n == 19 && w.random.Intn(4) == 0:
		r := w.request()
		w.granted[r.ID] = true
		w.running[r.ID] = Grant{Request: r, Replica: "r0"}
		w.pool.Adopt(w.now, r, "r0")
	}
	w.carryOut(w.pool.Plan(w.now))
	require.NoError(w.t, w.pool.CheckInvariants())
}

func (w *simulation) finishOne() {
	for _, id := range sortedKeys(w.running) {
		g := w.running[id]
		if w.random.Intn(2) == 0 {
			continue
		}
		delete(w.running, id)
		answer := int64(w.random.Intn(int(g.Request.MaxTokens)))
		o := Outcome{ServedTokens: g.Request.PromptTokens + answer, CompletionTokens: answer}
		o.CachedTokens = int64(w.random.Intn(int(g.Request.PromptTokens) + 1))
		if w.random.Intn(10) == 0 {
			o = Outcome{Failed: w.random.Intn(2) == 0}
		}
		w.pool.Finish(w.now, id, o)
		return
	}
}

func (w *simulation) carryOut(plan Plan) {
	for _, g := range plan.Grants {
		require.Contains(w.t, w.waiting, g.Request.ID, "granted a request that is not waiting")
		require.False(w.t, w.granted[g.Request.ID], "granted twice")
		require.NotContains(w.t, g.Request.Avoid, g.Replica)
		require.NotZero(w.t, w.present[g.Replica])
		w.granted[g.Request.ID] = true
		delete(w.waiting, g.Request.ID)
		w.running[g.Request.ID] = g
	}
	for _, r := range plan.Refused {
		require.Contains(w.t, w.waiting, r.Request.ID, "refused a request that is not waiting")
		delete(w.waiting, r.Request.ID)
	}
}

func TestPool_RandomEventsPreserveInvariants(t *testing.T) {
	parts := []Parts{{}, {Fairness: true}, {Order: true}, {Affinity: true}, {GiveUp: true}, {KVAdmission: true}}
	for seed := range int64(30) {
		w := newSimulation(t, seed, Options{MaxWaiting: 40, MaxPrograms: 50, Without: parts[seed%int64(len(parts))]})
		for range 1500 {
			w.step()
		}
		w.drain()
	}
}

// drain ends all calls and requires that the queue becomes empty.
func (w *simulation) drain() {
	for range 4 {
		w.setReplica("r0")
	}
	for range 400 {
		w.now += time.Second
		w.finishOne()
		w.pool.SetReplica(w.now, Replica{Name: "r1", Incarnation: w.present["r1"], Slots: 4, KVTokens: 20_000, ReportedAt: w.now})
		w.present["r1"] = max(w.present["r1"], 1)
		w.carryOut(w.pool.Plan(w.now))
		require.NoError(w.t, w.pool.CheckInvariants())
	}
	require.Empty(w.t, w.waiting)
	require.Zero(w.t, w.pool.Load().Waiting)
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
