package suspect

import (
	"slices"
	"time"
)

// UnconfirmedRetention is how long a strike without proof of a crash counts. It covers the time until a
// crashed upstream is back, which proves the crash.
const UnconfirmedRetention = 15 * time.Second

// UnconfirmedStrike is an upstream whose host fell silent during a run. It counts like a Strike until it
// expires, but never quarantines a request beyond that.
type UnconfirmedStrike struct {
	Strike
	// Remaining is the time until the strike expires.
	Remaining time.Duration `json:"remaining_ns"`
}

// unconfirmed is an UnconfirmedStrike of a Tracker.
type unconfirmed struct {
	Strike
	expiresAt time.Duration
}

// Silent records that an upstream's host fell silent during a run. subject describes the request to
// operators. It returns the fingerprint's record and whether the strike was counted.
func (t *Tracker) Silent(f Fingerprint, s Strike, subject string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	counted := !t.successes.contains(now, f) && t.addUnconfirmed(now, f, []UnconfirmedStrike{{s, UnconfirmedRetention}})
	if counted {
		t.subjects[f] = subject
		t.markChanged(f, true)
	}
	return t.record(now, f), counted
}

// addUnconfirmed adds the strikes that are new and reports whether there are some. t.mu must be held.
func (t *Tracker) addUnconfirmed(now time.Duration, f Fingerprint, strikes []UnconfirmedStrike) (added bool) {
	known := t.registry.Record(now, f).Struck
	for _, s := range strikes {
		list := t.unconfirmed[f]
		full := len(list) == 0 && len(t.unconfirmed) >= maxTracked || len(list) >= MaxCrashes
		if full || s.Remaining <= 0 || containsStrike(known, s.Strike) ||
			slices.ContainsFunc(list, func(u unconfirmed) bool { return u.same(s.Strike) }) {
			continue
		}
		t.unconfirmed[f] = append(list, unconfirmed{s.Strike, now + min(s.Remaining, UnconfirmedRetention)})
		added = true
	}
	return added
}

// same reports whether both strikes are of the same run or the same upstream process.
func (s Strike) same(other Strike) bool {
	return s.Run == other.Run || s.Upstream != "" && s.Upstream == other.Upstream
}

func containsStrike(list []Strike, s Strike) bool {
	return slices.ContainsFunc(list, s.same)
}

// dropUnconfirmed removes the unconfirmed strikes of a fingerprint that expired or became strikes. t.mu must
// be held.
func (t *Tracker) dropUnconfirmed(now time.Duration, f Fingerprint) {
	list := t.unconfirmed[f]
	if len(list) == 0 {
		return
	}
	struck := t.registry.Record(now, f).Struck
	list = slices.DeleteFunc(list, func(u unconfirmed) bool { return now >= u.expiresAt || containsStrike(struck, u.Strike) })
	if len(list) == 0 {
		t.forgetUnconfirmed(f)
		return
	}
	t.unconfirmed[f] = list
}

func (t *Tracker) forgetUnconfirmed(f Fingerprint) {
	delete(t.unconfirmed, f)
	delete(t.subjects, f)
}

// suspendedFor returns the time for which strikes and unconfirmed strikes together reject a fingerprint,
// 0 if they don't. t.mu must be held.
func (t *Tracker) suspendedFor(now time.Duration, f Fingerprint) time.Duration {
	t.dropUnconfirmed(now, f)
	list := t.unconfirmed[f]
	excess := t.registry.strikes(f) + len(list) - MaxCrashes
	if len(list) == 0 || excess < 0 {
		return 0
	}
	var remaining []time.Duration
	for _, u := range list {
		remaining = append(remaining, u.expiresAt-now)
	}
	slices.Sort(remaining)
	return remaining[min(excess, len(remaining)-1)]
}

// record returns the record of a fingerprint, with unconfirmed strikes. t.mu must be held.
func (t *Tracker) record(now time.Duration, f Fingerprint) Record {
	r := t.registry.Record(now, f)
	t.dropUnconfirmed(now, f)
	for _, u := range t.unconfirmed[f] {
		r.Unconfirmed = append(r.Unconfirmed, UnconfirmedStrike{u.Strike, u.expiresAt - now})
	}
	if r.Subject == "" {
		r.Subject = t.subjects[f]
	}
	return r
}
