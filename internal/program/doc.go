// Package program implements the replicated record of programs. A program is a chain of dependent
// calls (turns) of a client account, with its history, budget, at-most-once records and the engine
// sessions that hold its memory.
//
// Machine is the state machine of a replicated group. It is deterministic: equal commands in equal
// order give equal states and equal results on every replica. It has no clock; its time is the
// highest proposer time seen so far (Unix milliseconds) and never goes backwards.
//
// Programs are sharded over several groups. A program stays in one group, its Home, which is
// encoded in its name. Ledger is the client of one group, Shards the client of all groups that
// entry VMs use. Attempts is an entry VM's local list of its attempts under way.
//
// The contract in short: an entry VM sends a call to an upstream only after Begin returned Started
// for its attempt; it settles the attempt with exactly one of Revoke (no byte was written),
// Complete or Fail; and it renews the attempt's lease while the call is under way. When a lease
// expires the attempt is fenced: a repeatable turn reopens, any other turn is closed with an
// unknown outcome.
package program
