package membership

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// maxPendingRequests is the number of latest requests whose answers are still accepted.
const maxPendingRequests = 8

// HolderOptions are the fixed properties of a Holder.
type HolderOptions struct {
	VM          string
	Zone        string
	Incarnation uint64        // increases with each start of the process
	CutoffLimit time.Duration // the largest cutoff limit of all client accounts; see SetCutoffLimit
}

// Holder obtains and renews this VM's lease.
//
// The lease counts from when the answered request was sent, so that it expires here before its
// grantor considers it expired. The caller checks the lease immediately before it acts, so a VM
// that was frozen detects that its lease has expired.
type Holder struct {
	opts               HolderOptions
	epoch              Epoch
	generation         uint64
	split              uint64
	requiredEpoch      uint64 // highest epoch in an answer
	requiredGeneration uint64 // lowest generation of the configuration that permits acting
	sequence           uint64
	pendingRequests    map[uint64]time.Duration
	nextRenew          time.Duration
	validUntil         time.Duration // end of the lease; 0: never had one
	zoneContact        time.Duration // last contact of any VM of the zone with control
	controlContact     time.Duration // last contact of this VM itself with control
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

// NewHolder returns a Holder without a lease.
func NewHolder(now time.Duration, opts HolderOptions) *Holder {
	return &Holder{
		opts:            opts,
		started:         now,
		nextRenew:       now,
		pendingRequests: map[uint64]time.Duration{},
		sponsorships:    map[string]sponsorship{},
	}
}

// SetView sets the state of the control log under which this VM now acts: the membership epoch,
// the generation of the configuration, and the number of the split of the buckets. The host
// calls it only after every other component has stopped using what that state takes from this VM;
// the next request confirms the state. An older state is ignored.
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

// Valid reports whether this VM's lease is valid at now for the account with the largest cutoff
// limit.
func (h *Holder) Valid(now time.Duration) bool {
	return h.ValidWithin(now, h.opts.CutoffLimit)
}

// ValidWithin reports whether this VM's lease is valid at now and its zone had contact with
// control within limit.
func (h *Holder) ValidWithin(now, limit time.Duration) bool {
	return !h.released && now < h.validUntil && now-h.zoneContact <= limit && !h.behind()
}

// behind reports whether this VM hasn't yet applied the epoch, configuration or split that answers
// require.
func (h *Holder) behind() bool {
	// Other VMs may already act under the newer state.
	return h.epoch.Number < h.requiredEpoch || h.generation < h.requiredGeneration || h.split < h.settled.AgreedSplit
}

// Settled returns the latest known state that all VMs concerned have confirmed.
func (h *Holder) Settled() Settled {
	return h.settled
}

// RequiredVersions returns the lowest epoch and generation that this VM must apply before it may
// act, as received in answers.
func (h *Holder) RequiredVersions() (epoch, generation uint64) {
	return h.requiredEpoch, h.requiredGeneration
}

// Tick returns the requests that are due: to control, and also to VMs of the zone if this VM had
// no contact with control for ControlTimeout.
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
		// Reported as long as the lease may be valid, so that control has a record of every lease.
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

// nextSponsors returns the VMs of the zone that get the next request, in rotation.
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

// Handle processes an answer to this VM's request, or a request of another VM of the zone, and
// returns the messages to send.
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
	// The lease counts from the sending of the request; the granting side counts from its receipt,
	// which is later.
	h.validUntil = max(h.validUntil, sentAt+LeaseDuration)
	h.checkInvariants()
}

// applyAnswer updates the state that answers carry besides the grant. No value ever decreases.
func (h *Holder) applyAnswer(now time.Duration, a RenewAnswer) {
	h.requiredEpoch = max(h.requiredEpoch, a.Epoch)
	if now >= h.validUntil {
		// After a start or an expired lease the configuration may be newer by any number of
		// generations; this VM must apply the current one before it acts again.
		h.requiredGeneration = max(h.requiredGeneration, a.Generation)
	}
	h.settled = h.settled.merge(a.Settled)
	if h.deny.Version.Less(a.Deny.Version) {
		h.deny = DenyList{Version: a.Deny.Version, VMs: slices.Clone(a.Deny.VMs)}
	}
}

// handleRenew renews the lease of another VM of the zone if this VM's own lease is valid and the
// other VM is not on the deny list.
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

// Release gives up the lease permanently and returns the Goodbye for control.
func (h *Holder) Release() []LeaseSend {
	h.released = true
	return []LeaseSend{{To: ToControl, LeaseMessage: LeaseMessage{
		Goodbye: &Goodbye{VM: h.opts.VM, Incarnation: h.opts.Incarnation},
	}}}
}

// HolderStatus is the state of a Holder, for the state dump.
type HolderStatus struct {
	Valid      bool          `json:"valid"`
	Left       time.Duration `json:"left"`        // remaining time of the lease
	ContactAge time.Duration `json:"contact_age"` // time since the zone's last contact with control
	Behind     bool          `json:"behind"`
	Sponsored  bool          `json:"sponsored"` // the lease was granted by a VM of the zone
	Epoch      uint64        `json:"epoch"`
	Generation uint64        `json:"generation"`
	Deny       DenyList      `json:"deny"`
	Settled    Settled       `json:"settled"`
}

// Status returns the state of the Holder at now.
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
		panic("membership: too many pending lease requests")
	}
	if h.validUntil > h.nextRenew+LeaseDuration {
		panic(fmt.Sprintf("membership: lease until %v runs beyond %v after the last request", h.validUntil, LeaseDuration))
	}
	if h.controlContact > h.zoneContact {
		panic("membership: the VM's last contact with control is later than its zone's")
	}
}
