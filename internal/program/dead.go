package program

// deadReason is why an attempt can never be started again.
type deadReason string

const (
	deadRevoked deadReason = "revoked"
	deadFailed  deadReason = "failed"
	deadFenced  deadReason = "fenced"
)

// deadAttempts remembers attempts that ended without an answer, so that a Begin which arrives
// late or twice does not start them. Twice MaxCommandAge is long enough: after it the Begin is
// stale.
type deadAttempts struct {
	byID  map[string]deadAttempt
	queue []deadAttempt // oldest first
}

type deadAttempt struct {
	ID      string
	Reason  deadReason
	UntilMS int64
}

func (d *deadAttempts) add(id string, reason deadReason, untilMS int64) {
	a := deadAttempt{ID: id, Reason: reason, UntilMS: untilMS}
	d.byID[id] = a
	d.queue = append(d.queue, a)
}

func (d *deadAttempts) reason(id string) deadReason {
	return d.byID[id].Reason
}

func (d *deadAttempts) forget(nowMS int64) {
	for len(d.queue) > 0 && d.queue[0].UntilMS <= nowMS {
		delete(d.byID, d.queue[0].ID)
		d.queue = d.queue[1:]
	}
}

// bury notes that an attempt is over without an answer.
func (m *Machine) bury(id string, reason deadReason) {
	m.dead.add(id, reason, m.after(2*m.limits.MaxCommandAge))
}
