// Package ratelimit enforces every client account's rate and burst over all VMs.
//
// Each account's bucket is split into shares, one per zone; one VM of the zone holds the share
// (Fleet.Holder). A VM draws from its own zone's share first and then borrows from the holders of
// other zones before it refuses. Every token that leaves a share without being spent at once is a
// loan: the share counts it against its burst until the borrower reports it spent or returned, or
// until it has certainly expired. So tokens, loans and unused permits together never exceed the
// burst, and over any interval T at most burst + rate*T requests are dispatched.
//
// The host makes these calls, all from one goroutine, with the time of package clock:
//
//	l := New(Options)
//	l.SetView(now, View{...})       // each state of the control log; account IDs are canonical
//	l.SetSettled(now, Settled{...}) // after each lease renewal, from membership.Holder
//	l.Draw(now, account, request)          // -> Effects; the Decision is in these or in later ones
//	l.Handle(now, from, message)           // messages of other VMs
//	l.Tick(now)                            // every TickInterval
//	l.Dispatch(now, request)               // just before the request is sent; false: draw again
//	l.Redraw(now, request)                 // after Dispatch returned false: wait for another token
//	l.GiveBack(now, request)               // the request will not run
//
// SetView must be called before membership.Holder.SetView with the same state, because the latter
// confirms to control that this VM has given up whatever the state assigns to others.
//
// Messages may be lost, duplicated, reordered or late. That wastes tokens but never creates any.
package ratelimit
