package program

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"egretramp/internal/events"
)

// Placement selects the home of a new program.
type Placement string

// The placements. A sub-agent is always placed in its parent's home.
const (
	// PlaceMajority places the program in the group of all control VMs, without a fallback.
	PlaceMajority Placement = "majority"
	// PlaceZone places the program in the group of the entry VM's zone.
	PlaceZone Placement = "zone"
	// PlaceAny places the program in the group of all control VMs, or, if that does not answer, in
	// the group of the entry VM's zone. It is for names that the caller has not used before.
	PlaceAny Placement = "any"
)

// majorityWait bounds the wait for the majority group to create a program with PlaceAny. It is
// longer than an election. If the context's deadline is near, half of the remaining time is kept
// for the zone's group.
const majorityWait = 1500 * time.Millisecond

// Shards is an entry VM's client of all program groups. Each program stays in one group, which is
// encoded in its name. Its methods are safe for concurrent use.
type Shards struct {
	zone    Home // MajorityHome if this VM's zone has no group of its own
	ledgers map[Home]*Ledger
}

// NewShards returns the client of a VM in a zone, with one ledger for each group.
func NewShards(zone Home, ledgers ...*Ledger) *Shards {
	s := &Shards{ledgers: map[Home]*Ledger{}}
	for _, l := range ledgers {
		s.ledgers[l.opts.Home] = l
	}
	if s.ledgers[MajorityHome] == nil {
		panic("program: NewShards needs a ledger of the majority group")
	}
	if s.ledgers[zone] != nil {
		s.zone = zone
	}
	return s
}

// Ledgers returns the ledgers of all groups by home.
func (s *Shards) Ledgers() map[Home]*Ledger { return s.ledgers }

// ledgerFor returns the ledger of a program's home.
func (s *Shards) ledgerFor(name string) (*Ledger, error) {
	home := HomeOf(name)
	if l := s.ledgers[home]; l != nil {
		return l, nil
	}
	return nil, &RefusedError{Result: Result{
		Code:       CodeNoProgram,
		Detail:     "this VM knows no control VM in zone " + string(home),
		MayHaveRun: true,
	}}
}

// SetOwner continues with a new incarnation of this VM in all groups.
func (s *Shards) SetOwner(owner Owner) {
	for _, l := range s.ledgers {
		l.SetOwner(owner)
	}
}

// Outage returns for how long a home's group has not answered this VM; 0 while it answers.
func (s *Shards) Outage(home Home) time.Duration {
	if l := s.ledgers[home]; l != nil {
		return l.Outage()
	}
	return 0
}

// Create creates a program in the home that the placement selects. The name in the returned View is
// the one to use from then on.
func (s *Shards) Create(ctx context.Context, c Create, placement Placement) (*View, error) {
	switch {
	case c.Parent != "":
		return s.createSubAgent(ctx, c, placement)
	case placement == PlaceZone:
		return s.createInZone(ctx, c)
	case placement == PlaceMajority:
		return s.ledgers[MajorityHome].Create(ctx, c)
	}
	wait := majorityWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	view, err := s.ledgers[MajorityHome].Create(limited, c)
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || s.zone == MajorityHome {
		return view, err
	}
	view, err = s.createInZone(ctx, c)
	if err == nil {
		s.ledgers[s.zone].opts.Events.Emit(events.ProgramMadeInZone, zap.String("account", c.Account), zap.String("program", view.Name))
	}
	return view, err
}

func (s *Shards) createSubAgent(ctx context.Context, c Create, placement Placement) (*View, error) {
	home := HomeOf(c.Parent)
	if placement == PlaceZone && home != s.zone || placement == PlaceMajority && home != MajorityHome {
		return nil, &RefusedError{Result: Result{Code: CodeBadCommand, Detail: "a sub-agent lives in the home of its parent"}}
	}
	l, err := s.ledgerFor(c.Parent)
	if err != nil {
		return nil, err
	}
	return l.Create(ctx, c)
}

func (s *Shards) createInZone(ctx context.Context, c Create) (*View, error) {
	if s.zone == MajorityHome {
		return nil, &RefusedError{Result: Result{
			Code:   CodeNoZoneGroup,
			Detail: "this zone has no control VM of its own that could keep a program",
		}}
	}
	return s.ledgers[s.zone].Create(ctx, c)
}

// Begin begins a call in its program's home.
func (s *Shards) Begin(ctx context.Context, call Call) (*Turn, error) {
	l, err := s.ledgerFor(call.Program)
	if err != nil {
		return nil, err
	}
	return l.Begin(ctx, call)
}

// Revoke cancels an attempt of which no byte was written.
func (s *Shards) Revoke(ctx context.Context, c Revoke) (mayHaveRun bool, err error) {
	l, err := s.ledgerFor(c.Program)
	if err != nil {
		return true, err
	}
	return l.Revoke(ctx, c)
}

// Complete records an answer.
func (s *Shards) Complete(ctx context.Context, c Complete) (*SettledBudget, error) {
	l, err := s.ledgerFor(c.Program)
	if err != nil {
		return nil, err
	}
	return l.Complete(ctx, c)
}

// Fail settles an attempt without an answer.
func (s *Shards) Fail(ctx context.Context, c Fail) error {
	l, err := s.ledgerFor(c.Program)
	if err != nil {
		return err
	}
	return l.Fail(ctx, c)
}

// End ends a program and its sub-agents.
func (s *Shards) End(ctx context.Context, c End) (*View, error) {
	l, err := s.ledgerFor(c.Program)
	if err != nil {
		return nil, err
	}
	return l.End(ctx, c)
}

// Read returns a program.
func (s *Shards) Read(ctx context.Context, q ProgramQuery) (*View, error) {
	l, err := s.ledgerFor(q.Program)
	if err != nil {
		return nil, err
	}
	return l.Read(ctx, q)
}

// Renew extends the leases of attempts, each in its home. renewed has the attempts whose group
// answered, lost those of them that are no longer current.
func (s *Shards) Renew(ctx context.Context, attempts []string) (renewed, lost []string) {
	byHome := map[Home][]string{}
	for _, id := range attempts {
		home := HomeOfAttempt(id)
		byHome[home] = append(byHome[home], id)
	}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for home, ids := range byHome {
		l := s.ledgers[home]
		if l == nil {
			panic("program: no ledger for the home of attempt " + ids[0])
		}
		wg.Go(func() {
			gone, err := l.Renew(ctx, ids)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			renewed = append(renewed, ids...)
			lost = append(lost, gone...)
		})
	}
	wg.Wait()
	return renewed, lost
}

// List returns a page of an account's programs of all homes, sorted by name. The page lists the
// homes that did not answer; an error is returned only if none did.
func (s *Shards) List(ctx context.Context, q ListQuery) (*ListPage, error) {
	merged := &ListPage{Programs: []Summary{}}
	var last error
	var mu sync.Mutex
	var wg conc.WaitGroup
	for home, l := range s.ledgers {
		wg.Go(func() {
			page, err := l.List(ctx, q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				merged.Silent = append(merged.Silent, home.String())
				last = err
				return
			}
			merged.Programs = append(merged.Programs, page.Programs...)
			merged.More = merged.More || page.More
		})
	}
	wg.Wait()
	if len(merged.Silent) == len(s.ledgers) {
		return nil, last
	}
	slices.Sort(merged.Silent)
	slices.SortFunc(merged.Programs, func(a, b Summary) int { return strings.Compare(a.Name, b.Name) })
	if limit := pageLimit(q.Limit); len(merged.Programs) > limit {
		merged.Programs, merged.More = merged.Programs[:limit], true
	}
	return merged, nil
}

// Report compares an engine's sessions with the records. Each session is sent only to the group
// that may have a record of it, so that no group releases the sessions of another one. Sessions
// without a home in this fleet are sent to the majority group.
func (s *Shards) Report(ctx context.Context, c Report) error {
	byHome := map[Home][]string{MajorityHome: nil}
	for _, session := range c.Sessions {
		home := homeOfID(session)
		if s.ledgers[home] == nil {
			home = MajorityHome
		}
		byHome[home] = append(byHome[home], session)
	}
	var mu sync.Mutex
	var combined error
	var wg conc.WaitGroup
	for home, sessions := range byHome {
		part := Report{Engine: c.Engine, EngineIncarnation: c.EngineIncarnation, Sessions: sessions}
		wg.Go(func() {
			if err := s.ledgers[home].Report(ctx, part); err != nil {
				mu.Lock()
				defer mu.Unlock()
				combined = errors.CombineErrors(combined, err)
			}
		})
	}
	wg.Wait()
	return combined
}
