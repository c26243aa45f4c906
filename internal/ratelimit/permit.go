package ratelimit

import "time"

// permitState is the state of a permit. Every state but permitDrawn is final.
type permitState uint8

const (
	permitDrawn      permitState = iota // its tokens are lent to the request
	permitDispatched                    // its tokens are spent
	permitReturned                      // its tokens were returned, once
)

// permit allows one request to be dispatched before a deadline.
//
// Its tokens remain loans until then, counted against the burst. So the bound holds at the time of
// dispatch, however long the wait: a request that waits past the deadline has returned its tokens
// and draws again.
type permit struct {
	request string
	account *account
	until   time.Duration
	state   permitState
	parts   []permitPart
}

// permitPart is the amount of a permit that comes from one loan.
type permitPart struct {
	credit *credit
	amount Tokens
}

// credit is the borrower's record of a loan, from another VM or from this VM's own share.
type credit struct {
	lender   string // VM that lent it; "" for the own share
	share    *Share // own share that lent it; nil for another VM's
	loan     LoanID
	amount   Tokens
	drawn    Tokens // in permits
	spent    Tokens
	returned Tokens
	expires  time.Duration
}

// minPermitLife is the shortest time between the grant of a permit and its deadline.
const minPermitLife = 100 * time.Millisecond

// unused returns the amount that is neither in a permit nor reported spent or returned.
func (c *credit) unused() Tokens {
	return c.amount - c.drawn - c.spent - c.returned
}

// available returns the amount that a new permit may use.
func (c *credit) available(now time.Duration) Tokens {
	if now+minPermitLife > c.expires {
		return 0
	}
	return c.unused()
}

// dispatch spends a permit's tokens. It reports false, and changes nothing, if the permit is
// not drawn or has expired.
func (p *permit) dispatch(now time.Duration) bool {
	if p.state != permitDrawn || now >= p.until {
		return false
	}
	p.state = permitDispatched
	for _, part := range p.parts {
		part.credit.drawn -= part.amount
		part.credit.spent += part.amount
	}
	return true
}

// giveBack returns a permit's tokens, at most once.
func (p *permit) giveBack() bool {
	if p.state != permitDrawn {
		return false
	}
	p.state = permitReturned
	for _, part := range p.parts {
		part.credit.drawn -= part.amount
		part.credit.returned += part.amount
	}
	return true
}
