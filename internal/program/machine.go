package program

import (
	"encoding/json"
	"fmt"
	"time"
)

// Machine is the state machine of one program group. It is not safe for concurrent use.
type Machine struct {
	limits Limits
	// home is the home that the group serves; token distinguishes a zone's group from earlier ones
	// whose disks were lost.
	home     Home
	token    string
	nowMS    int64
	index    uint64 // of the last command applied
	accounts map[string]*account
	// live holds the programs that have not ended, by sessionBase.
	live map[string]*program
	// running holds the programs with a turn under way, by attempt ID.
	running    map[string]*program
	tombstones tombstones
	// lostOwners holds, for each VM declared lost, the highest incarnation that was.
	lostOwners    map[string]int64
	engines       map[string]*engine
	checksEnabled bool
	previous      machineState // used by the checks
}

// account holds the programs of one client account in the group.
type account struct {
	programs map[string]*program
	// ended and endedNonRepeatable queue the ended programs, oldest first; endedNonRepeatable has
	// those with turns that may not be repeated, which are kept for the whole retention.
	ended              []*program
	endedNonRepeatable []*program
	// purged is set once a program of the account was purged.
	purged bool
}

// New returns an empty machine. Retention is raised to twice MaxCommandAge if it is shorter.
func New(limits Limits) *Machine {
	limits.Retention = max(limits.Retention, 2*limits.MaxCommandAge)
	m := &Machine{limits: limits}
	m.reset()
	return m
}

// NewForZone returns an empty machine for the group of a zone.
func NewForZone(zone Home, limits Limits) *Machine {
	m := New(limits)
	m.home = zone
	return m
}

func (m *Machine) reset() {
	m.token = ""
	m.nowMS = 0
	m.index = 0
	m.accounts = map[string]*account{}
	m.live = map[string]*program{}
	m.running = map[string]*program{}
	m.tombstones = tombstones{byID: map[string]tombstone{}}
	m.lostOwners = map[string]int64{}
	m.engines = map[string]*engine{}
}

// EnableChecks makes the machine check its invariants after each command and panic if one is
// violated. The checks traverse the whole state: they are for tests and short runs.
func (m *Machine) EnableChecks() {
	m.checksEnabled = true
}

// Apply applies the command at index and returns a Result in JSON. The result of a command that
// cannot be decoded has CodeBadCommand.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.index = index
	var env Envelope
	var res *Result
	if err := json.Unmarshal(data, &env); err != nil {
		res = refuse(CodeBadCommand, "cannot read the command: %v", err)
	} else {
		m.nowMS = max(m.nowMS, env.TimeMS)
		res = m.dispatch(&env)
	}
	if m.checksEnabled {
		m.assertInvariants()
	}
	return encodeResult(res)
}

// Query answers a Query in JSON without changing anything.
func (m *Machine) Query(data []byte) []byte {
	var q Query
	if err := json.Unmarshal(data, &q); err != nil {
		return encodeResult(refuse(CodeBadCommand, "cannot read the query: %v", err))
	}
	return encodeResult(m.query(&q))
}

func (m *Machine) dispatch(env *Envelope) *Result {
	if env.count() != 1 {
		return refuse(CodeBadCommand, "%d commands in one envelope", env.count())
	}
	if err := env.validate(); err != nil {
		return refuse(CodeBadCommand, "%v", err)
	}
	switch {
	case env.Create != nil:
		return m.create(env.Create, env.TimeMS)
	case env.Begin != nil:
		return m.begin(env.Begin, env.TimeMS)
	case env.Revoke != nil:
		return m.revoke(env.Revoke)
	case env.Complete != nil:
		return m.complete(env.Complete)
	case env.Fail != nil:
		return m.fail(env.Fail)
	case env.Renew != nil:
		return m.renew(env.Renew)
	case env.OwnerLost != nil:
		return m.ownerLost(env.OwnerLost)
	case env.Cancel != nil:
		return m.cancel(env.Cancel)
	case env.End != nil:
		return m.end(env.End, env.TimeMS)
	case env.Tick != nil:
		return m.tick()
	case env.ReleaseDone != nil:
		return m.releaseDone(env.ReleaseDone)
	case env.Report != nil:
		return m.report(env.Report)
	case env.EngineGone != nil:
		return m.engineGone(env.EngineGone)
	default:
		return m.query(env.Query)
	}
}

// isStale reports whether a command is too old to be distinguished from a repeated one.
func (m *Machine) isStale(timeMS int64) bool {
	return m.nowMS-timeMS > m.limits.MaxCommandAge.Milliseconds()
}

func (m *Machine) after(d time.Duration) int64 {
	return m.nowMS + d.Milliseconds()
}

// elapsed reports whether d has elapsed since sinceMS.
func (m *Machine) elapsed(sinceMS int64, d time.Duration) bool {
	return m.nowMS-sinceMS >= d.Milliseconds()
}

func (m *Machine) program(accountID, name string) *program {
	a := m.accounts[accountID]
	if a == nil {
		return nil
	}
	return a.programs[name]
}

func (m *Machine) account(id string) *account {
	a := m.accounts[id]
	if a == nil {
		a = &account{programs: map[string]*program{}}
		m.accounts[id] = a
	}
	return a
}

// refuseNoProgram refuses a command for a program that does not exist. A turn of it may have run if
// programs of the account were purged, or if the program was in a group that was lost.
func (m *Machine) refuseNoProgram(accountID, name string) *Result {
	if m.isFromLostGroup(name) {
		res := refuse(CodeNoProgram, "the record of program %q was lost with the disks of its zone", name)
		res.MayHaveRun = true
		return res
	}
	res := refuse(CodeNoProgram, "no program %q", name)
	a := m.accounts[accountID]
	res.MayHaveRun = a != nil && a.purged
	return res
}

// isFromLostGroup reports whether a name was assigned by an earlier group of this zone.
func (m *Machine) isFromLostGroup(name string) bool {
	q, ok := parseQualified(name)
	return ok && q.zone == m.home && q.token != m.token
}

func refuse(code Code, format string, args ...any) *Result {
	return &Result{Code: code, Detail: fmt.Sprintf(format, args...)}
}

func okResult() *Result {
	return &Result{Code: CodeOK}
}

func encodeResult(res *Result) []byte {
	data, err := json.Marshal(res)
	if err != nil {
		panic("program: cannot encode a result: " + err.Error())
	}
	return data
}
