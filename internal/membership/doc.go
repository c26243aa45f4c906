// Package membership says which VMs of the fleet are alive, which of them may act for the
// client accounts and pools that they were assigned, and which VM is assigned what.
//
// All types are state machines without locks, clocks, sockets or random sources. Time is the
// time since boot of package clock; the caller passes it in and must not go back. Messages
// are typed structs that the host sends as JSON, one way, and may lose, repeat or reorder.
//
//   - Tracker: what this VM sees of the others; advisory, for routing.
//   - Holder: the lease of this VM. A VM without a valid lease admits no keyed request.
//   - Grantor: runs with the leader of the control group; grants leases, and says which VMs
//     may be removed from the membership epoch because they have surely stopped.
//   - Epoch and Rank: the assignment, by rendezvous hashing.
//
// Contract of the host for leases: a Grantor is made anew at each election, after the leader
// has applied all entries of earlier terms; Grantor.Renew is called only after the leader
// confirmed its leadership by a quorum following receipt of the request (read index) and has
// applied up to that index; no two processes run under one VM name at a time, which holds
// because a process binds its VM's listener for other VMs before it asks for a lease.
package membership
