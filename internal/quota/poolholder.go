package quota

import "time"

// poolState is what a Holder keeps about its share and the pool that it contributes the share to.
type poolState struct {
	// contributedAt is the time up to which the share was contributed to a pool, usedAt that up to which it was used by
	// this VM alone.
	contributedAt, usedAt time.Duration
	// lastUse is the latest of both before the last contact with the coordinator.
	lastUse time.Duration
	// grantedAt is the time of the pool's last grant, 0 if this VM is in no pool.
	grantedAt time.Duration
}

// Contribution is the part of an entry VM's share that it gives to a pool.
type Contribution struct {
	Share time.Duration
	// from and until are the share's time.
	from, until time.Duration
}

// Contribute takes this VM's share since it was last used, for a request to a pool. It returns false if the VM is in
// contact with the coordinator or never was. The VM doesn't use the share of that time itself from then on.
func (h *Holder) Contribute(now time.Duration) (Contribution, bool) {
	if !h.Lost(now) || h.holders == 0 {
		return Contribution{}, false
	}
	from := min(max(h.lossStart(), h.pool.contributedAt, h.pool.usedAt, now-maxContribution), now)
	c := Contribution{Share: now - from, from: h.pool.contributedAt, until: now}
	h.pool.contributedAt = now
	for _, a := range h.accounts {
		a.usingShare = false
	}
	return c, true
}

// lossStart returns the time from which on this VM has a share of its own: the last contact with the coordinator. The
// coordinator counts the VM as connected for ContactTimeout after it, so a link that fails again and again would count the
// VM twice most of the time. Therefore the share begins that much later if it was used shortly before. Holders of upstreams'
// limits contribute to no pool.
func (h *Holder) lossStart() time.Duration {
	if h.permitLifetime == 0 && h.pool.lastUse > 0 && h.contact-h.pool.lastUse < sharePause {
		return h.contact + ContactTimeout
	}
	return h.contact
}

// Withdraw takes back the last contribution, whose request was certainly not processed.
func (h *Holder) Withdraw(c Contribution) {
	if h.pool.contributedAt == c.until {
		h.pool.contributedAt = c.from
	}
}

// InPool reports whether this VM gets its permits from a pool instead of its own share.
func (h *Holder) InPool(now time.Duration) bool {
	return h.pool.grantedAt > 0 && now-h.pool.grantedAt <= ContactTimeout && h.Lost(now)
}

// LeavePool makes this VM use its own share, from the last contribution on, until a pool or the coordinator responds.
func (h *Holder) LeavePool() { h.pool.grantedAt = 0 }

// ApplyPoolGrant applies a grant from a pool.
func (h *Holder) ApplyPoolGrant(now time.Duration, g PoolGrant) {
	h.pool.grantedAt = now
	h.applyPermits(now, now, g.Permits, g.Waits, g.Levels)
}
