package program

// remaining returns what the program may still reserve under its own and all ancestors' budgets.
func (p *program) remaining() Budget {
	left := p.limit.sub(p.used).sub(p.reserved)
	for q := p.parent; q != nil; q = q.parent {
		left = left.componentMin(q.limit.sub(q.used).sub(q.reserved))
	}
	return left
}

// reserve reserves one call and tokens in the program and all ancestors. It returns false, and
// reserves nothing, if a budget would be exceeded.
func (p *program) reserve(tokens int64) bool {
	left := p.remaining()
	if left.Calls < 1 || left.Tokens < tokens {
		return false
	}
	for q := p; q != nil; q = q.parent {
		q.reserved.Calls++
		q.reserved.Tokens += tokens
	}
	return true
}

// release cancels a reservation that was not used.
func (p *program) release(tokens int64) {
	for q := p; q != nil; q = q.parent {
		q.reserved.Calls--
		q.reserved.Tokens -= tokens
	}
}

// settle converts a reservation into use: one call, and the tokens used. Tokens beyond the
// reservation are charged as far as the budgets allow; the rest is counted as overrun, so that use
// never exceeds a budget.
func (p *program) settle(reserved, used int64) SettledBudget {
	p.release(reserved)
	charged := min(used, p.remaining().Tokens)
	overrun := used - charged
	for q := p; q != nil; q = q.parent {
		q.used.Calls++
		q.used.Tokens += charged
	}
	p.overrun += overrun
	return SettledBudget{ChargedTokens: charged, OverrunTokens: overrun}
}

func (b Budget) sub(o Budget) Budget {
	return Budget{Tokens: b.Tokens - o.Tokens, Calls: b.Calls - o.Calls}
}

func (b Budget) componentMin(o Budget) Budget {
	return Budget{Tokens: min(b.Tokens, o.Tokens), Calls: min(b.Calls, o.Calls)}
}

// boundedBy returns the budget limited to a ceiling; components that are 0 take the ceiling's
// value.
func (b Budget) boundedBy(ceiling Budget) Budget {
	limit := b.componentMin(ceiling)
	if b.Tokens == 0 {
		limit.Tokens = ceiling.Tokens
	}
	if b.Calls == 0 {
		limit.Calls = ceiling.Calls
	}
	return limit
}
