package membership

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// maxPendingRequests bounds the requests whose answers are still taken.
const maxPendingRequests = 8

// HolderOptions are the fixed properties of a Holder.
type HolderOptions struct {
	VM          string
	Zone        string
	Incarnation uint64        // higher at each start
	CutoffLimit time.Duration // the largest of all client accounts; see SetCutoffLimit
}

// Holder keeps this VM's lease.
//
// The lease is measured from the sending of the request that was answered, so that it ends
// here before whoever granted it holds it to be over. The caller checks it at the moment of
// acting: a VM that was frozen finds its lease expired.
type Holder struct {
	opts               HolderOptions
	epoch              Epoch
	generation         uint64
	split              uint64
	requiredEpoch      uint64 // the highest epoch an answer named
	requiredGeneration uint64 // the configuration needed to act
	sequence           uint64
	pendingRequests    map[uint64]time.Duration
	nextRenew          time.Duration
	validUntil         time.Duration // 0: never had a lease
	zoneContact        time.Duration // the zone's last contact with control
	controlContact     time.Duration // this VM's own last contact with control
	started            time.Duration
	deny               DenyList
	settled            Settled
	sponsorships       map[string]sponsorship
	nextSponsorIndex   int
	released           bool
}

type sponsorship struct {
	at        time.Duration
	confirmed Confirmed
}

// NewHolder returns a holder without a lease.
func NewHolder(now time.Duration, opts HolderOptions) *Holder {
	return &Holder{
		opts:            opts,
		started:         now,
		nextRenew:       now,
		pendingRequests: map[uint64]time.Duration{},
		sponsorships:    map[string]sponsorship{},
	}
}

// SetView says under which state of the control log this VM now acts: the membership epoch,
// the generation of the configuration, and the number of the split of the buckets. The host
// calls it only after every other slice has stopped what that state takes from this VM; the
// next request confirms it. An older state is ignored.
func (h *Holder) SetView(e Epoch, generation, split uint64) {
	if e.Number < h.epoch.Number || generation < h.generation || split < h.split {
		return
	}
	h.epoch = e
	h.generation = generation
	h.split = split
}

// SetCutoffLimit sets the largest cutoff limit of all client accounts.
func (h *Holder) SetCutoffLimit(limit time.Duration) {
	h.opts.CutoffLimit = limit
}

// Valid reports whether this VM may act at all at now.
func (h *Holder) Valid(now time.Duration) bool {
	return h.ValidWithin(now, h.opts.CutoffLimit)
}

// ValidWithin reports whether this VM may act at now, given that its zone may be cut off from
// control for at most limit.
func (h *Holder) ValidWithin(now, limit time.Duration) bool {
	return !h.released && now < h.validUntil && now-h.zoneContact <= limit && !h.behind()
}

// behind reports whether this VM has not learned what its lease requires it to know.
func (h *Holder) behind() bool {
	// Others may act under the newer epoch already.
	return h.epoch.Number < h.requiredEpoch || h.generation < h.requiredGeneration || h.split < h.settled.AgreedSplit
}

// Settled returns what all VMs concerned are known to have confirmed.
func (h *Holder) Settled() Settled {
	return h.settled
}

// RequiredVersions returns the epoch and generation that this VM has to learn, as answers named them.
func (h *Holder) RequiredVersions() (epoch, generation uint64) {
	return h.requiredEpoch, h.requiredGeneration
}

// Tick sends a request when one is due: to control, and to VMs of the zone while control is
// silent.
func (h *Holder) Tick(now time.Duration) []LeaseSend {
	if h.released || now < h.nextRenew {
		return nil
	}
	h.nextRenew = now + RenewInterval
	h.sequence++
	h.pendingRequests[h.sequence] = now
	delete(h.pendingRequests, h.sequence-maxPendingRequests)
	request := h.request(now)
	sends := []LeaseSend{{To: ToControl, LeaseMessage: LeaseMessage{Renew: request}}}
	if now-max(h.controlContact, h.started) >= ControlTimeout {
		for _, vm := range h.nextSponsors() {
			sends = append(sends, LeaseSend{To: vm, LeaseMessage: LeaseMessage{Renew: request}})
		}
	}
	h.checkInvariants()
	return sends
}

func (h *Holder) request(now time.Duration) *RenewRequest {
	r := &RenewRequest{Confirmed: h.confirmed(), Zone: h.opts.Zone, Sequence: h.sequence, Settled: h.settled}
	for vm, s := range h.sponsorships {
		// Reported as long as the lease may hold, so that control knows of every lease.
		if now-s.at > WithClockMargin(LeaseDuration) {
			delete(h.sponsorships, vm)
			continue
		}
		r.Sponsored = append(r.Sponsored, s.confirmed)
	}
	sort.Slice(r.Sponsored, func(i, j int) bool { return r.Sponsored[i].VM < r.Sponsored[j].VM })
	return r
}

func (h *Holder) confirmed() Confirmed {
	return Confirmed{
		VM:          h.opts.VM,
		Incarnation: h.opts.Incarnation,
		Epoch:       h.epoch.Number,
		Generation:  h.generation,
		Split:       h.split,
		Deny:        h.deny.Version,
	}
}

// nextSponsors returns the next VMs of the zone to ask.
func (h *Holder) nextSponsors() []string {
	var others []string
	for _, vm := range h.epoch.InZone(h.opts.Zone) {
		if vm != h.opts.VM {
			others = append(others, vm)
		}
	}
	if len(others) <= SponsorsPerRequest {
		return others
	}
	var next []string
	for range SponsorsPerRequest {
		next = append(next, others[h.nextSponsorIndex%len(others)])
		h.nextSponsorIndex++
	}
	return next
}

// Handle takes an answer to an own request, or a request of another VM of the zone.
func (h *Holder) Handle(now time.Duration, from string, m LeaseMessage) []LeaseSend {
	switch {
	case m.Answer != nil:
		h.handleAnswer(now, *m.Answer)
	case m.Renew != nil:
		return []LeaseSend{{To: from, LeaseMessage: LeaseMessage{Answer: h.handleRenew(now, *m.Renew)}}}
	}
	return nil
}

func (h *Holder) handleAnswer(now time.Duration, a RenewAnswer) {
	sentAt, known := h.pendingRequests[a.Sequence]
	if !known || a.VM != h.opts.VM || a.Incarnation != h.opts.Incarnation {
		return
	}
	h.applyAnswer(now, a)
	if !a.Granted {
		return
	}
	if a.Control {
		h.controlContact = max(h.controlContact, sentAt)
	}
	h.zoneContact = max(h.zoneContact, sentAt-a.ContactAge)
	// From the sending: the granting side counts from its later receipt.
	h.validUntil = max(h.validUntil, sentAt+LeaseDuration)
	h.checkInvariants()
}

// applyAnswer takes what an answer says beside the grant. None of it ever goes back.
func (h *Holder) applyAnswer(now time.Duration, a RenewAnswer) {
	h.requiredEpoch = max(h.requiredEpoch, a.Epoch)
	if now >= h.validUntil {
		// After a start or a lapse the configuration may have moved on by any amount; before
		// it acts again this VM learns the one in force.
		h.requiredGeneration = max(h.requiredGeneration, a.Generation)
	}
	h.settled = h.settled.merge(a.Settled)
	if h.deny.Version.Less(a.Deny.Version) {
		h.deny = DenyList{Version: a.Deny.Version, VMs: slices.Clone(a.Deny.VMs)}
	}
}

// handleRenew renews the lease of another VM of the zone if this VM's own lease is valid and
// control has not denied it.
func (h *Holder) handleRenew(now time.Duration, r RenewRequest) *RenewAnswer {
	a := &RenewAnswer{
		VM: r.VM, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Epoch: h.epoch.Number, Generation: h.generation,
		ContactAge: now - h.zoneContact,
		Deny:       h.deny,
		Settled:    h.settled,
	}
	zone, member := h.epoch.ZoneOf(r.VM)
	earlier := h.sponsorships[r.VM].confirmed
	switch {
	case !h.Valid(now), !member, zone != h.opts.Zone, r.VM == h.opts.VM:
		return a
	case slices.Contains(h.deny.VMs, r.VM):
		return a
	case r.Incarnation < earlier.Incarnation:
		return a
	}
	a.Granted = true
	h.sponsorships[r.VM] = sponsorship{at: now, confirmed: r.Confirmed}
	return a
}

// Release gives the lease up for good; the goodbye may then be sent.
func (h *Holder) Release() []LeaseSend {
	h.released = true
	return []LeaseSend{{To: ToControl, LeaseMessage: LeaseMessage{
		Goodbye: &Goodbye{VM: h.opts.VM, Incarnation: h.opts.Incarnation},
	}}}
}

// HolderStatus is a holder's state, for the state dump.
type HolderStatus struct {
	Valid      bool          `json:"valid"`
	Left       time.Duration `json:"left"`        // of the lease
	ContactAge time.Duration `json:"contact_age"` // of the zone's contact with control
	Behind     bool          `json:"behind"`
	Sponsored  bool          `json:"sponsored"` // the lease comes from a VM of the zone
	Epoch      uint64        `json:"epoch"`
	Generation uint64        `json:"generation"`
	Deny       DenyList      `json:"deny"`
	Settled    Settled       `json:"settled"`
}

// Status returns the state at now.
func (h *Holder) Status(now time.Duration) HolderStatus {
	return HolderStatus{
		Valid:      h.Valid(now),
		Left:       max(0, h.validUntil-now),
		ContactAge: now - h.zoneContact,
		Behind:     h.behind(),
		Sponsored:  h.Valid(now) && now-h.controlContact > LeaseDuration,
		Epoch:      h.epoch.Number,
		Generation: h.generation,
		Deny:       h.deny,
		Settled:    h.settled,
	}
}

func (h *Holder) checkInvariants() {
	if len(h.pendingRequests) > maxPendingRequests {
		panic("membership: too many requests are remembered")
	}
	if h.validUntil > h.nextRenew+LeaseDuration {
		panic(fmt.Sprintf("membership: lease until %v runs beyond %v after the last request", h.validUntil, LeaseDuration))
	}
	if h.controlContact > h.zoneContact {
		panic("membership: the VM's contact with control is later than its zone's")
	}
}
