package raft

import "fmt"

// checkInvariants panics if the state of the replica is inconsistent: continuing could spread the
// corruption to healthy replicas. It costs only a few comparisons.
func (r *Raft) checkInvariants() {
	l := r.log
	assertf(l.snapshot.Index >= l.baseIndex, "log base %d is after the snapshot at %d", l.baseIndex, l.snapshot.Index)
	assertf(l.applied >= l.snapshot.Index, "applied %d is behind the snapshot at %d", l.applied, l.snapshot.Index)
	assertf(l.applied <= l.commit, "applied %d is ahead of commit %d", l.applied, l.commit)
	assertf(l.commit <= l.lastIndex(), "commit %d is beyond the last log index %d", l.commit, l.lastIndex())
	assertf(r.stable <= l.lastIndex(), "stable index %d is beyond the last log index %d", r.stable, l.lastIndex())
	assertf(r.term >= l.lastTerm(), "term %d is below the last log term %d", r.term, l.lastTerm())
	assertf(r.savedHard.Term <= r.term, "term decreased from %d to %d", r.savedHard.Term, r.term)
	assertf(r.savedHard.Term < r.term || r.savedHard.Vote == 0 || r.savedHard.Vote == r.vote,
		"the vote in term %d changed from %x to %x", r.term, r.savedHard.Vote, r.vote)
	if n := len(l.entries); n > 0 {
		assertf(l.entries[0].Index == l.baseIndex+1 && l.entries[n-1].Index == l.lastIndex(), "the log has a gap")
	}
	if r.role == Leader {
		assertf(r.leader == r.id, "this leader has replica %x as its leader", r.leader)
		assertf(r.confs.isVoter(r.id), "the leader is not a voter")
		for id, p := range r.progress {
			assertf(p.match < p.next, "replica %x: match index %d is not below next index %d", id, p.match, p.next)
		}
	}
}

func assertf(ok bool, format string, args ...any) {
	if !ok {
		panic("raft: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
