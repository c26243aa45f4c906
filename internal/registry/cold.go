package registry

import "time"

// coldState is what the registrations of one process say of its cold time.
type coldState struct {
	until    time.Duration  // as last reported to entry VMs
	statedAt *time.Duration // of the last registration that says whether the process is cold, nil if none does
	// announce makes the next registration that says so news for entry VMs.
	announce bool
}

// changes reports whether a registration is news for entry VMs: the cold time begins, is extended or ends early, the
// process says for the first time whether it is cold, or entry VMs wait for it. The cold time passes without news.
func (c *coldState) changes(u *Upstream, now time.Duration) bool {
	if u.ColdStated <= 0 {
		return false
	}
	wasCold := c.until > now
	switch end := now + max(u.Cold, 0); {
	case c.statedAt == nil, c.announce:
		return true
	case wasCold:
		return end > c.until+coldExtension || end < c.until-coldShortening
	}
	return u.Cold > 0
}

// record records a registration that is reported to entry VMs.
func (c *coldState) record(u *Upstream, now time.Duration) {
	if u.ColdStated > 0 {
		c.until, c.statedAt, c.announce = now+max(u.Cold, 0), &now, false
	}
	u.Cold, u.ColdStated = 0, 0 // describe sets them
}

// confirm records a registration that changes nothing.
func (c *coldState) confirm(u *Upstream, now time.Duration) {
	if u.ColdStated > 0 {
		c.statedAt = &now
	}
}

// describe sets the fields of an entry that is sent to entry VMs.
func (c *coldState) describe(u *Upstream, now time.Duration) {
	if c.statedAt != nil {
		u.Cold, u.ColdStated = max(c.until-now, 0), max(now-*c.statedAt, 1)
	}
}

// AnnounceCold makes the next registration of each upstream of a zone news for entry VMs if it says whether the upstream
// is cold: when the zone returns to service, they count its upstreams as cold until they hear otherwise.
func (r *Registrar) AnnounceCold(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.entries {
		if known.upstream.Zone == zone && known.upstream.State != Gone {
			known.cold.announce = true
		}
	}
}

// resolveCold sets the times that follow from the durations of an entry that was just received.
func (u *Upstream) resolveCold() {
	now := time.Now()
	u.FirstSeen = now.Add(-max(u.Registered, 0))
	if u.ColdStated > 0 {
		u.ColdUntil, u.ColdStatedAt = now.Add(max(u.Cold, 0)), now.Add(-u.ColdStated)
	}
}

// keepCold takes over what an earlier entry of the same process says and a later one doesn't.
func (u *Upstream) keepCold(was *Upstream) {
	if u.Born != was.Born {
		return
	}
	if was.FirstSeen.Before(u.FirstSeen) {
		u.FirstSeen = was.FirstSeen
	}
	if u.ColdStatedAt.IsZero() {
		u.ColdUntil, u.ColdStatedAt = was.ColdUntil, was.ColdStatedAt
	}
}
