// Package ratelimit keeps every client account within its rate and burst over all VMs.
//
// Each account's bucket is split into shares, one for each zone; one VM of the zone holds the
// share (Fleet.Holder). A VM draws on its own zone's share first and then borrows from the
// other zones' holders before it refuses. Every token that leaves a share other than by being
// spent on the spot is a loan: the share counts it against its burst until the borrower
// reports it spent or returned, or until it has surely expired. So tokens, loans and unused
// permits together never exceed the burst, and over any interval T the requests dispatched are
// at most burst + rate*T.
//
// The host's calls, all from one goroutine, with the time of package clock:
//
//	l := New(Options)
//	l.SetView(now, View{...})       // each state of the control log; account IDs are canonical
//	l.SetSettled(now, Settled{...}) // after each lease renewal, from membership.Holder
//	l.Draw(now, account, request)          // -> Effects; a Decision comes now or from a later step
//	l.Handle(now, from, message)           // messages of other VMs
//	l.Tick(now)                            // every TickInterval
//	l.Dispatch(now, request)               // as the request leaves for its upstream: true, or draw again
//	l.Redraw(now, request)                 // Dispatch said false: wait for another token
//	l.GiveBack(now, request)               // the request will not run
//
// SetView is called before membership.Holder.SetView of the same state, because that confirms
// to control that this VM has stopped what the state takes from it.
//
// Messages may be lost, repeated, reordered or late. That wastes tokens and creates none.
package ratelimit
