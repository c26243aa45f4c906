package ratelimit

import "time"

// permitState is where a permit stands. Every state but permitDrawn is final.
type permitState uint8

const (
	permitDrawn      permitState = iota // its tokens are lent to the request
	permitDispatched                    // its tokens are spent
	permitReturned                      // its tokens went back, once
)

// permit is one request's leave to be dispatched until a time.
//
// Its tokens stay loans until then, counted against the burst. So the bound holds at the
// moment of dispatch, whatever the wait: a request that waited longer has given its tokens
// back and draws again.
type permit struct {
	request string
	account *account
	until   time.Duration
	state   permitState
	parts   []permitPart
}

// permitPart is an amount out of one loan.
type permitPart struct {
	credit *credit
	amount Tokens
}

// credit is a loan as its borrower keeps it, from another VM or from this VM's own share.
type credit struct {
	lender   string // the VM; "" for the own share
	share    *Share // the own share; nil for another VM's
	loan     LoanID
	amount   Tokens
	drawn    Tokens // in permits
	spent    Tokens
	returned Tokens
	expires  time.Duration
}

// minPermitLife is the least time that a permit holds when it is granted.
const minPermitLife = 100 * time.Millisecond

// unused returns what is neither in a permit nor reported.
func (c *credit) unused() Tokens {
	return c.amount - c.drawn - c.spent - c.returned
}

// available returns what a permit may still be made of.
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
