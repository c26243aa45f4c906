// Package program keeps programs: chains of dependent calls (turns) of a client account, with
// their history, budget, at-most-once records and the engine sessions that hold their memory.
//
// Machine is the state machine of a replicated group. It is pure: equal commands in equal
// order give equal states and equal answers on every replica. It has no clock; its time is
// the highest proposer time seen so far (Unix milliseconds) and never falls.
//
// Programs are spread over several groups; a program's name tells its Home, the group it lives in
// for life. Ledger is the client of one group, Shards that of all, which entry VMs use. Attempts
// is the entry VM's own list of the attempts it has under way.
//
// The contract in short: an entry VM sends a call to an upstream only after Begin answered
// Started for its attempt; it settles the attempt with exactly one of Revoke (no byte was
// written), Complete or Fail; and it renews the attempt's lease while the call is under way.
// When a lease runs out the attempt is fenced: a repeatable turn opens again, any other turn
// has an unknown outcome for good.
package program
