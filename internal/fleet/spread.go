package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/config"
	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/membership"
	"egretramp/internal/message"
	"egretramp/internal/ratelimit"
)

// View is the state that is published for the goroutines that serve requests. It is immutable.
type View struct {
	// Snapshot is the configuration in force; nil before there is one.
	Snapshot *config.Snapshot
	// Acceptance is the acceptance record of the configuration in force.
	Acceptance control.Acceptance
	// Epoch is the current membership epoch.
	Epoch     membership.Epoch
	withdrawn map[string]bool // key IDs and hashes
}

// Withdrawn reports whether a key may no longer be used.
func (v *View) Withdrawn(keyID, hash string) bool {
	return v.withdrawn[keyID] || v.withdrawn[hash]
}

// View returns the current state.
func (f *Fleet) View() *View { return f.view.Load() }

// Snapshot returns the configuration in force, or nil before there is one.
func (f *Fleet) Snapshot() *config.Snapshot { return f.View().Snapshot }

// Withdrawn reports whether a key may no longer be used.
func (f *Fleet) Withdrawn(keyID, hash string) bool { return f.View().Withdrawn(keyID, hash) }

// Offer merges a part of the control state, received from this VM's own replica or from another VM.
func (f *Fleet) Offer(d control.Delta) {
	if d.Empty() {
		return
	}
	f.post(func() { f.offer(d) })
}

func (f *Fleet) offer(d control.Delta) { f.applyChange(f.follower.Merge(d)) }

// applyChange applies changes of the follower's state: it publishes the new state, and updates the
// connections, the tracker, the limiter and the lease.
func (f *Fleet) applyChange(change control.Change) {
	f.logChange(change)
	if !change.Config && !change.Members && !change.Splits && len(change.Withdrawn) == 0 {
		return
	}
	now := f.opts.Clock()
	state := f.follower.View()
	_, was := f.view.Load().Epoch.ZoneOf(f.opts.VM)
	f.publish(state, change)
	if _, is := f.view.Load().Epoch.ZoneOf(f.opts.VM); was && !is {
		f.rejoin(now)
	}
	if change.Members {
		f.updateConnections(state.Members.VMs)
		f.tracker.SetVMs(now, f.trackedVMs(epochOf(state.Members)))
		f.publishAlive()
	}
	if state.Consistent() {
		f.applyState(now, state)
	}
	f.broadcastDigest()
	f.publishLease(now)
	if len(change.Withdrawn) > 0 && f.opts.Withdrawn != nil {
		f.task(func(context.Context) { f.opts.Withdrawn() })
	}
}

// rejoin switches to a new incarnation after control removed this VM: what this VM held under the old
// one is given to other VMs, and the old incarnation can't be registered again.
func (f *Fleet) rejoin(now time.Duration) {
	incarnation := max(time.Now().UnixNano(), f.incarnation.Load()+1)
	f.incarnation.Store(incarnation)
	f.opts.Events.Emit(events.FleetRemoved, zap.Int64("incarnation", incarnation))
	for request, waiting := range f.pendingDraws {
		delete(f.pendingDraws, request)
		waiting <- ratelimit.Decision{Request: request, Reason: ratelimit.ReasonNoLease, RetryAfter: unavailableRetryAfter}
	}
	f.resetLeaseAndLimiter(now)
	if f.opts.Rejoined != nil {
		f.task(func(context.Context) { f.opts.Rejoined(incarnation) })
	}
}

// logChange logs changes of the control state.
func (f *Fleet) logChange(change control.Change) {
	for _, conflict := range change.Conflicts {
		f.opts.Events.Emit(events.StateConflict, zap.String("conflict", conflict))
	}
	if change.Config {
		f.opts.Events.Emit(events.ConfigInForce, zap.Uint64("generation", f.follower.Digest().Generation))
	}
	if change.Members {
		f.opts.Events.Emit(events.MembersChange, zap.Uint64("epoch", f.follower.Digest().Epoch))
	}
	if len(change.Withdrawn) > 0 {
		ids := make([]string, 0, len(change.Withdrawn))
		for _, k := range change.Withdrawn {
			ids = append(ids, k.ID)
		}
		f.opts.Events.Emit(events.KeysWithdrawn, zap.Strings("key_ids", ids))
	}
}

// publish publishes the new state to the goroutines that serve requests.
func (f *Fleet) publish(state control.View, change control.Change) {
	last := f.view.Load()
	next := &View{
		Snapshot:   last.Snapshot,
		Acceptance: state.Config.Acceptance,
		Epoch:      epochOf(state.Members),
		withdrawn:  map[string]bool{},
	}
	for _, k := range state.Withdrawn {
		next.withdrawn[k.ID] = true
		if k.Hash != "" {
			next.withdrawn[k.Hash] = true
		}
	}
	if change.Config {
		file, err := config.Parse("configuration", []byte(state.Config.Text))
		if err != nil {
			// The file was checked before it was accepted, so this happens only if this VM runs another
			// release than the VM that accepted it.
			f.opts.Events.Emit(events.FleetBadConfig, zap.Uint64("generation", state.Config.Generation), zap.Error(err))
		} else {
			next.Snapshot = config.Compile(file)
		}
	}
	f.view.Store(next)
}

// applyState passes a consistent state of the control log to the limiter, the lease holder and, on the
// leader, the grantor.
func (f *Fleet) applyState(now time.Duration, state control.View) {
	snapshot := f.view.Load().Snapshot
	generation := state.Config.Generation
	if snapshot != nil && snapshot.Generation() != generation {
		return // the configuration failed this VM's checks
	}
	limits := map[string]ratelimit.Limit{}
	cutoff := time.Duration(config.DefaultCutoffLimitSeconds) * time.Second
	if snapshot != nil {
		cutoff = seconds(snapshot.CutoffLimitSeconds())
		for _, a := range snapshot.Accounts() {
			limits[a.ID] = ratelimit.Limit{RatePerSecond: a.RatePerSecond, Burst: a.Burst}
			cutoff = max(cutoff, seconds(a.CutoffLimitSeconds))
		}
	}
	epoch := epochOf(state.Members)
	// The limiter is updated first: it must stop using what the new state takes from this VM before the
	// holder confirms the state.
	f.limiter.SetView(now, ratelimit.View{
		Fleet: epoch, Limits: limits, Split: state.Splits.Split, AgreedSplit: state.Splits.Agreed,
	})
	f.holder.SetView(epoch, generation, state.Splits.Split)
	f.holder.SetCutoffLimit(cutoff)
	f.leading.setView(epoch, state, cutoff)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func epochOf(m control.Members) membership.Epoch {
	e := membership.Epoch{Number: m.Epoch}
	for _, vm := range m.VMs {
		e.VMs = append(e.VMs, membership.VM{Name: vm.VM, Zone: vm.Zone})
	}
	return e
}

// trackedVMs returns the VMs to track: the members of the epoch and the VMs known at start.
func (f *Fleet) trackedVMs(e membership.Epoch) []membership.VM {
	all := append([]membership.VM(nil), e.VMs...)
	for _, vm := range f.opts.VMs {
		if _, ok := e.ZoneOf(vm.Name); !ok {
			all = append(all, vm)
		}
	}
	return all
}

// digestHash returns a short hash of the control state's digest, which heartbeats carry. VMs with the
// same control state have the same hash.
func (f *Fleet) digestHash() []byte {
	sum := sha256.Sum256(message.Encode(f.follower.Digest()))
	return sum[:digestHashBytes]
}

const digestHashBytes = 8

// broadcastDigest adds the digest hash to the heartbeats, and sends the digest to some VMs immediately.
func (f *Fleet) broadcastDigest() {
	f.tracker.SetDigest(f.digestHash())
	message := message.Encode(digestMessage{Digest: f.follower.Digest()})
	for _, vm := range f.tracker.Contacts(digestFanOut) {
		f.opts.Network.Send(vm, KindDigest, message)
	}
}

// digestFanOut is the number of VMs that receive a changed digest immediately. The others learn of it
// through heartbeats.
const digestFanOut = 16

// digestMessage has the sender's digest. Ask requests the receiver's digest in return if the
// receiver's state is ahead.
type digestMessage struct {
	Digest control.Digest `json:"digest"`
	Ask    bool           `json:"ask,omitempty"`
}

// digestRequestInterval is the minimum time between two digest requests to the same VM.
const digestRequestInterval = 200 * time.Millisecond

// requestDigestIfDifferent requests the digest of a VM whose digest hash differs.
func (f *Fleet) requestDigestIfDifferent(from string, theirs []byte) {
	now := f.opts.Clock()
	if bytes.Equal(theirs, f.digestHash()) || now-f.digestRequested[from] < digestRequestInterval {
		return
	}
	f.digestRequested[from] = now
	f.opts.Network.Send(from, KindDigest, message.Encode(digestMessage{Digest: f.follower.Digest(), Ask: true}))
}

// HandleDigest handles another VM's digest.
func (f *Fleet) HandleDigest(from string, payload []byte) {
	var m digestMessage
	if json.Unmarshal(payload, &m) != nil {
		return
	}
	f.post(func() {
		own := f.follower.Digest()
		if m.Ask && own.Ahead(m.Digest) {
			f.opts.Network.Send(from, KindDigest, message.Encode(digestMessage{Digest: own}))
		}
		f.fetchIfBehind(from, m.Digest)
	})
}

// fetchIfBehind fetches the missing control state from a VM whose digest is ahead.
func (f *Fleet) fetchIfBehind(from string, theirs control.Digest) {
	own := f.follower.Digest()
	if f.fetching[from] || !theirs.Ahead(own) {
		return
	}
	f.fetching[from] = true
	f.task(func(ctx context.Context) {
		delta, err := f.fetch(ctx, from, own)
		f.post(func() {
			delete(f.fetching, from)
			if err == nil {
				f.offer(delta)
			}
		})
	})
}

func (f *Fleet) fetch(ctx context.Context, vm string, own control.Digest) (control.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var delta control.Delta
	data, err := f.opts.Network.Call(ctx, vm, MethodDelta, message.Encode(own))
	if err != nil {
		return delta, err
	}
	return delta, json.Unmarshal(data, &delta)
}

// HandleDelta serves MethodDelta: it returns the control state that the calling VM lacks.
func (f *Fleet) HandleDelta(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var theirs control.Digest
	if err := json.Unmarshal(payload, &theirs); err != nil {
		return nil, errors.Wrap(err, "fleet: bad digest")
	}
	return await(ctx, f, func() []byte { return message.Encode(f.follower.DeltaFor(theirs)) })
}

// await runs read on the fleet goroutine and returns its result.
func await[T any](ctx context.Context, f *Fleet, read func() T) (T, error) {
	result := make(chan T, 1)
	f.post(func() { result <- read() })
	var zero T
	select {
	case r := <-result:
		return r, nil
	case <-f.done:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
