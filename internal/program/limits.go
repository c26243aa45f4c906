package program

import "time"

// Limits are the machine's bounds. All replicas of a group use equal ones.
type Limits struct {
	// Lease is how long an attempt lives without a renewal.
	Lease time.Duration
	// MaxCommandAge is how far a command's time may lie behind the machine's. An older one is
	// refused, so what guards against repeated commands may be forgotten after it.
	MaxCommandAge time.Duration
	// IdleRelease is how long an idle program keeps its engine sessions.
	IdleRelease time.Duration
	// IdleExpire is how long an idle program lives.
	IdleExpire time.Duration
	// Retention is how long an ended program can be read and its turns are answered.
	Retention time.Duration
	// ReportAge is how long a session without a record is left alone after the first report.
	ReportAge time.Duration
	// MaxPrograms bounds an account's programs, ended ones included.
	MaxPrograms int
	// MaxBytes bounds a program's record: no turn begins once it is reached. Bytes.
	MaxBytes int64
	// MaxDepth bounds the nesting of sub-agents.
	MaxDepth int
}

// DefaultLimits returns the bounds that daemons use.
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
	// MaxListed bounds a page of programs or releases.
	MaxListed = 1_000
	// maxNameBytes bounds names, keys and hashes in commands.
	maxNameBytes = 256
	// oneCallPrefix begins the names of one-call programs.
	oneCallPrefix = "call:"
)

// OneCallName returns the name of the one-call program for an idempotency key.
func OneCallName(idempotencyKey string) string {
	return oneCallPrefix + idempotencyKey
}
