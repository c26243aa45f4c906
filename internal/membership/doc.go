// Package membership implements failure detection, leases and the membership epoch of the fleet:
// which VMs are alive, which of them may act for the client accounts and pools that are assigned
// to them, and which VM is assigned what.
//
// All types are state machines without locks, clocks, sockets or entropy sources. Time is the
// time since boot of package clock; the caller passes it in and it must not go back. Messages
// are structs that the host sends as JSON, one way; they may be lost, repeated or reordered.
//
//   - Tracker: gossip-based failure detector of this VM; advisory, for routing.
//   - Holder: the lease of this VM. A VM without a valid lease admits no keyed request.
//   - Grantor: runs on the leader of the control group; grants leases, and determines which VMs
//     may be removed from the membership epoch because their lease can't be valid any more.
//   - Epoch and Rank: the assignment, by rendezvous hashing.
//
// Requirements on the host for leases: it creates a new Grantor at each election, after the leader
// has applied all entries of earlier terms. It calls Grantor.Renew only after the leader
// confirmed its leadership by a quorum following receipt of the request (read index) and has
// applied up to that index. No two processes run under one VM name at a time, which holds
// because a process binds its VM's listener for other VMs before it requests a lease.
package membership
