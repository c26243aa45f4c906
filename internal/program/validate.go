package program

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// count returns the number of commands in the envelope.
func (e *Envelope) count() int {
	set := []bool{
		e.Create != nil, e.Begin != nil, e.Revoke != nil, e.Complete != nil, e.Fail != nil,
		e.Renew != nil, e.OwnerLost != nil, e.Cancel != nil, e.End != nil, e.Tick != nil,
		e.ReleaseDone != nil, e.Report != nil, e.EngineGone != nil, e.Query != nil,
	}
	n := 0
	for _, s := range set {
		if s {
			n++
		}
	}
	return n
}

// validate checks what can be checked without the machine's state.
func (e *Envelope) validate() error {
	switch {
	case e.Create != nil:
		return e.Create.validate()
	case e.Begin != nil:
		return e.Begin.validate()
	case e.Revoke != nil:
		return checkNames(e.Revoke.Account, e.Revoke.Program, e.Revoke.Attempt)
	case e.Complete != nil:
		return e.Complete.validate()
	case e.Fail != nil:
		return e.Fail.validate()
	case e.OwnerLost != nil:
		return checkNames(e.OwnerLost.Owner.VM)
	case e.Cancel != nil:
		return e.Cancel.validate()
	case e.End != nil:
		return checkNames(e.End.Account, e.End.Program)
	}
	return nil
}

func (c *Create) validate() error {
	if err := checkNames(c.Account, c.Name); err != nil {
		return err
	}
	if strings.HasPrefix(c.Name, oneCallPrefix) {
		return errors.Newf("program names do not begin with %q", oneCallPrefix)
	}
	if HomeOf(c.Name) != MajorityHome {
		return errors.Newf("names that begin with %q and a zone are given by the system", zonePrefix)
	}
	if c.Token != "" && !isToken(c.Token) {
		return errors.New("the token is not 16 hex digits")
	}
	if c.Parent == c.Name {
		return errors.New("a program is not its own parent")
	}
	if c.Budget.Tokens < 0 || c.Budget.Calls < 0 || c.DeadlineMS < 0 {
		return errors.New("negative budget or deadline")
	}
	return c.Ceiling.checkCeiling()
}

func (b Budget) checkCeiling() error {
	if b.Tokens <= 0 || b.Calls <= 0 {
		return errors.New("the ceiling of tokens and calls is not above 0")
	}
	return nil
}

func (c *Begin) validate() error {
	if err := checkNames(c.Account, c.Program, c.RequestHash, c.Attempt, c.Owner.VM); err != nil {
		return err
	}
	if c.Kind != KindChat && c.Kind != KindService {
		return errors.Newf("unknown kind of turn %q", c.Kind)
	}
	if len(c.IdempotencyKey) > maxNameBytes {
		return errors.New("the idempotency key is too long")
	}
	if c.ReserveTokens < 0 {
		return errors.New("negative reservation")
	}
	oneCall := c.Implicit != nil && c.Implicit.OneCall
	if strings.HasPrefix(c.Program, oneCallPrefix) != oneCall {
		return errors.Newf("names of one-call programs, and no others, begin with %q", oneCallPrefix)
	}
	if c.Implicit != nil {
		return c.Implicit.Ceiling.checkCeiling()
	}
	return nil
}

func (c *Complete) validate() error {
	if c.UsedTokens < 0 {
		return errors.New("negative use of tokens")
	}
	return checkNames(c.Account, c.Program, c.Attempt)
}

func (c *Fail) validate() error {
	if c.Outcome != OutcomeUnknown && c.Outcome != OutcomeFailed {
		return errors.Newf("unknown outcome %q", c.Outcome)
	}
	if c.UsedTokens < 0 {
		return errors.New("negative use of tokens")
	}
	return checkNames(c.Account, c.Program, c.Attempt)
}

func (c *Cancel) validate() error {
	if c.Turn == 0 {
		return errors.New("no turn to cancel")
	}
	return checkNames(c.Account, c.Program)
}

func checkNames(names ...string) error {
	for _, name := range names {
		if name == "" {
			return errors.New("an empty name or hash")
		}
		if len(name) > maxNameBytes {
			return errors.Newf("a name or hash of %d bytes; at most %d", len(name), maxNameBytes)
		}
	}
	return nil
}
