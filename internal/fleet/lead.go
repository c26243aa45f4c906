package fleet

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"egretramp/internal/control"
	"egretramp/internal/events"
	"egretramp/internal/membership"
	"egretramp/internal/message"
)

// leaderState is the state that the leader of the control group needs. On other VMs the grantor is nil.
type leaderState struct {
	term     uint64
	starting bool
	grantor  *membership.Grantor
	cutoff   time.Duration
	epoch    membership.Epoch
	state    control.View
	// requests wait for the next confirmation of leadership. confirming is set while an earlier batch
	// waits for its own.
	requests     []renewal
	confirming   bool
	incarnations map[string]uint64
	proposing    map[string]bool
}

type renewal struct {
	from    string
	request membership.RenewRequest
}

func (l *leaderState) setView(e membership.Epoch, state control.View, cutoff time.Duration) {
	l.epoch, l.state, l.cutoff = e, state, cutoff
	l.updateGrantor()
}

// updateGrantor passes the state of the control log to the grantor.
func (l *leaderState) updateGrantor() {
	if l.grantor == nil {
		return
	}
	l.grantor.SetView(l.epoch, l.state.Config.Generation, l.state.Splits.Split, l.state.Splits.Agreed)
	l.grantor.SetCutoffLimit(l.cutoff)
}

// HandleRenew handles a lease request or a goodbye that was sent to the control VMs.
func (f *Fleet) HandleRenew(from string, payload []byte) {
	var m membership.LeaseMessage
	if f.opts.Leader == nil || json.Unmarshal(payload, &m) != nil {
		return
	}
	f.post(func() { f.handleRenewal(from, m) })
}

func (f *Fleet) handleRenewal(from string, m membership.LeaseMessage) {
	if f.leading.grantor == nil {
		return
	}
	if m.Goodbye != nil {
		f.leading.grantor.Goodbye(*m.Goodbye)
	}
	if m.Renew == nil {
		return
	}
	f.connectPending(f.opts.Clock(), from, m.Renew)
	f.leading.requests = append(f.leading.requests, renewal{from: from, request: *m.Renew})
	f.confirmLeadership()
}

// confirmLeadership answers the waiting lease requests once a quorum has confirmed, after they were
// received, that this VM is the leader: a deposed leader must not grant a lease that its successor
// denies.
func (f *Fleet) confirmLeadership() {
	l := &f.leading
	if l.confirming || len(l.requests) == 0 {
		return
	}
	l.confirming = true
	batch, term := l.requests, l.term
	l.requests = nil
	f.task(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := f.opts.Leader.ReadIndex(ctx)
		f.post(func() {
			l.confirming = false
			if err == nil && l.grantor != nil && l.term == term {
				f.grant(batch)
			}
			f.confirmLeadership()
		})
	})
}

func (f *Fleet) grant(batch []renewal) {
	now := f.opts.Clock()
	for _, r := range batch {
		f.leading.incarnations[r.request.VM] = r.request.Incarnation
		answer := f.leading.grantor.Renew(now, r.request)
		payload := message.Encode(membership.LeaseMessage{Answer: &answer})
		f.opts.Network.Send(r.from, KindLease, payload)
	}
}

// runLeader performs the leader's periodic work: it starts granting leases after an election, and
// proposes to register VMs, to remove VMs, and to record pending withdrawals and agreed splits.
func (f *Fleet) runLeader(now time.Duration) {
	if f.opts.Leader == nil {
		return
	}
	term, leads := f.opts.Leader.Leads()
	l := &f.leading
	if !leads || term != l.term && l.grantor != nil {
		f.stepDown()
	}
	if !leads {
		return
	}
	if l.grantor == nil {
		f.startLeading(term)
		return
	}
	f.expirePending(now)
	l.grantor.Tick(now)
	for _, vm := range l.grantor.Removable(now) {
		f.propose(vm, control.Command{RemoveVM: &control.RemoveVM{VM: vm, Incarnation: f.incarnationOf(vm)}})
	}
	for _, vm := range l.grantor.Joining() {
		f.propose(vm.Name, control.Command{RegisterVM: &control.RegisterVM{
			VM: vm.Name, Zone: vm.Zone, Incarnation: f.incarnationOf(vm.Name),
		}})
	}
	// Propose withdrawals that operators made in a partition without a majority, which are not in the
	// log yet.
	if pending := f.follower.Pending(); len(pending) > 0 {
		f.propose(withdrawProposalKey, control.Command{WithdrawKeys: &control.WithdrawKeys{IDs: pending}})
	}
	if agreed := l.grantor.AgreedSplit(); agreed > l.state.Splits.Agreed {
		f.propose(splitProposalKey, control.Command{RecordAgreedSplit: &control.RecordAgreedSplit{Split: agreed}})
	}
}

// splitProposalKey is the key of proposals of agreed splits in leaderState.proposing. The leading NUL
// keeps it distinct from VM names.
const splitProposalKey = "\x00split"

// withdrawProposalKey is the key of proposals of withdrawals in leaderState.proposing.
const withdrawProposalKey = "\x00withdraw"

func (f *Fleet) stepDown() {
	if f.leading.grantor != nil {
		f.opts.Events.Emit(events.FleetResigned, zap.Uint64("term", f.leading.term))
	}
	f.leading.grantor = nil
	f.leading.requests = nil
}

// startLeading creates the grantor once all entries of earlier terms have been applied on this VM.
func (f *Fleet) startLeading(term uint64) {
	l := &f.leading
	if l.starting {
		return
	}
	l.starting = true
	f.task(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := f.opts.Leader.ReadIndex(ctx)
		f.post(func() {
			l.starting = false
			if now, leads := f.opts.Leader.Leads(); err != nil || !leads || now != term {
				return
			}
			l.term = term
			l.incarnations = map[string]uint64{}
			l.proposing = map[string]bool{}
			for _, vm := range f.follower.View().Members.VMs {
				l.incarnations[vm.VM] = uint64(vm.Incarnation)
			}
			l.grantor = membership.NewGrantor(f.opts.Clock(), term, l.cutoff)
			l.updateGrantor()
			f.opts.Events.Emit(events.FleetElected, zap.Uint64("term", term))
		})
	})
}

func (f *Fleet) incarnationOf(vm string) int64 {
	return int64(f.leading.incarnations[vm])
}

// proposalRefused handles a proposal that the control state machine refused.
func (f *Fleet) proposalRefused(vm string, c control.Command, r *control.Refusal) {
	switch {
	case c.RemoveVM != nil && f.leading.grantor != nil:
		f.leading.grantor.RemovalFailed(vm)
	case c.RegisterVM != nil && r.Code == control.CodeOldIncarnation:
		// The VM was removed under this incarnation, possibly before it had received the epoch in which
		// it was a member.
		f.opts.Network.Send(vm, KindRemoved, message.Encode(removedMessage{Incarnation: c.RegisterVM.Incarnation}))
	}
}

// removedMessage notifies a VM that an incarnation of it can't be registered again.
type removedMessage struct {
	Incarnation int64 `json:"incarnation"`
}

// HandleRemoved handles the leader's notice that this VM needs a new incarnation.
func (f *Fleet) HandleRemoved(_ string, payload []byte) {
	var m removedMessage
	if json.Unmarshal(payload, &m) != nil {
		return
	}
	f.post(func() {
		if m.Incarnation != f.incarnation.Load() {
			return
		}
		now := f.opts.Clock()
		f.rejoin(now)
		if state := f.follower.View(); state.Consistent() {
			f.applyState(now, state)
		}
		f.publishLease(now)
	})
}

// propose proposes a command, one at a time for each key: the name of the VM that it concerns,
// splitProposalKey or withdrawProposalKey. A VM to register is first asked for its addresses.
func (f *Fleet) propose(vm string, c control.Command) {
	l := &f.leading
	if l.proposing[vm] {
		return
	}
	l.proposing[vm] = true
	proposing := l.proposing
	f.task(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
		defer cancel()
		if c.RegisterVM != nil {
			status, err := f.StatusOf(ctx, vm)
			if err != nil {
				f.post(func() { delete(proposing, vm) })
				return
			}
			c.RegisterVM.Addresses = status.Addresses
		}
		result, err := f.opts.Proposer.Propose(ctx, c)
		f.post(func() {
			delete(proposing, vm)
			if err == nil && result.Refusal != nil {
				f.proposalRefused(vm, c, result.Refusal)
			}
		})
	})
}
