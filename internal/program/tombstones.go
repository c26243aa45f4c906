package program

// endReason is why an attempt can never be started again.
type endReason string

const (
	endRevoked endReason = "revoked"
	endFailed  endReason = "failed"
	endFenced  endReason = "fenced"
)

// tombstones remembers attempts that ended without an answer, so that a Begin which arrives
// late or twice does not start them. Twice MaxCommandAge is long enough: after it the Begin is
// stale.
type tombstones struct {
	byID  map[string]tombstone
	queue []tombstone // oldest first
}

type tombstone struct {
	ID      string
	Reason  endReason
	UntilMS int64
}

func (d *tombstones) add(id string, reason endReason, untilMS int64) {
	a := tombstone{ID: id, Reason: reason, UntilMS: untilMS}
	d.byID[id] = a
	d.queue = append(d.queue, a)
}

func (d *tombstones) reason(id string) endReason {
	return d.byID[id].Reason
}

func (d *tombstones) dropExpired(nowMS int64) {
	for len(d.queue) > 0 && d.queue[0].UntilMS <= nowMS {
		delete(d.byID, d.queue[0].ID)
		d.queue = d.queue[1:]
	}
}

// addTombstone notes that an attempt is over without an answer.
func (m *Machine) addTombstone(id string, reason endReason) {
	m.tombstones.add(id, reason, m.after(2*m.limits.MaxCommandAge))
}
