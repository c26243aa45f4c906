package program

// endReason is why an attempt ended and must not be started again.
type endReason string

const (
	endRevoked endReason = "revoked"
	endFailed  endReason = "failed"
	endFenced  endReason = "fenced"
)

// tombstones keeps the attempts that ended without an answer, so that a late or repeated Begin does
// not start them. They are kept for twice MaxCommandAge: after that the Begin is refused as stale.
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

// addTombstone records that an attempt ended without an answer.
func (m *Machine) addTombstone(id string, reason endReason) {
	m.tombstones.add(id, reason, m.after(2*m.limits.MaxCommandAge))
}
