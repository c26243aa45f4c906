package program

import "time"

// Limits are the bounds of a Machine. All replicas of a group must use the same ones.
type Limits struct {
	// Lease is how long an attempt stays current without a renewal.
	Lease time.Duration
	// MaxCommandAge is how far a command's time may be behind the machine's. An older command is
	// refused, so the state that guards against repeated commands may be dropped after this time.
	MaxCommandAge time.Duration
	// IdleRelease is how long an idle program keeps its engine sessions.
	IdleRelease time.Duration
	// IdleExpire is how long a program may be idle before it expires.
	IdleExpire time.Duration
	// Retention is how long an ended program can be read and its turns are answered from the
	// record.
	Retention time.Duration
	// ReportAge is how long after its first report a session without a record is kept before it is
	// released.
	ReportAge time.Duration
	// MaxPrograms bounds an account's programs, ended ones included.
	MaxPrograms int
	// MaxBytes bounds a program's record in bytes: no turn begins once it is reached.
	MaxBytes int64
	// MaxDepth bounds the nesting of sub-agents.
	MaxDepth int
}

// DefaultLimits returns the limits that daemons use.
func DefaultLimits() Limits {
	return Limits{
		Lease:         15 * time.Second,
		MaxCommandAge: 2 * time.Minute,
		IdleRelease:   10 * time.Minute,
		IdleExpire:    24 * time.Hour,
		Retention:     time.Hour,
		ReportAge:     15 * time.Second,
		MaxPrograms:   20_000,
		MaxBytes:      32 << 20,
		MaxDepth:      16,
	}
}

const (
	// TickEvery is how often the leader proposes a Tick.
	TickEvery = time.Second
	// RenewEvery is how often an entry VM renews its attempts' leases.
	RenewEvery = 5 * time.Second
	// MaxListed bounds the number of programs or releases in a page.
	MaxListed = 1_000
	// maxNameBytes bounds the length of names, keys and hashes in commands.
	maxNameBytes = 256
	// oneCallPrefix starts the names of one-call programs.
	oneCallPrefix = "call:"
)

// OneCallName returns the name of the one-call program for an idempotency key.
func OneCallName(idempotencyKey string) string {
	return oneCallPrefix + idempotencyKey
}
