package events

import "go.uber.org/zap/zapcore"

// Events of the Raft groups, 1100 to 1199.
var (
	GroupFormed     = define(1100, zapcore.InfoLevel, "this VM accepted the formation of a group", "")
	GroupJoined     = define(1101, zapcore.InfoLevel, "this VM joined an existing group as a new replica", "")
	LeaderElected   = define(1102, zapcore.InfoLevel, "this VM leads the group", "")
	LeaderLost      = define(1103, zapcore.InfoLevel, "this VM no longer leads the group", "")
	LearnerAdmitted = define(1104, zapcore.InfoLevel, "a new replica was admitted as learner", "")
	VoterPromoted   = define(1105, zapcore.InfoLevel, "a learner that caught up became a voter", "")
	VoterReplaced   = define(1106, zapcore.WarnLevel, "a learner replaced its VM's lost replica", "find out why the VM lost its disk")
	ReplicaStopped  = define(1107, zapcore.ErrorLevel, "the replica stopped because it can't continue safely",
		"read the error; repair the disk or move the group's file away, then start the daemon again")
	VMClaimedTwice = define(1108, zapcore.ErrorLevel, "two live replicas claim the same VM name; the new one is not admitted",
		"stop the daemon that runs under the wrong name")
	FormationAbandoned = define(1109, zapcore.WarnLevel, "the replica abandoned a group formation that was never completed and starts over", "")
	FormationWaiting   = define(1110, zapcore.WarnLevel, "the group is not formed yet: not every initial VM responds",
		"start the VMs that are named, or correct the initial VMs in the settings")
	LearnerDropped = define(1112, zapcore.InfoLevel, "an unresponsive learner was removed because its VM has a live voter", "")
	VoterRemoved   = define(1113, zapcore.InfoLevel, "a voter was removed from the group", "")
	LearnerBehind  = define(1114, zapcore.WarnLevel, "a new replica has not caught up; the loss of another disk may cost the group's data",
		"compare snapshot_sent and match of two lines: if they grow, the state is large or the VM is busy; if not, check the link to the VM and its disk")
	SurplusLearnerDropped = define(1115, zapcore.InfoLevel, "a spare replica was removed because the group has enough others", "")
	LeadershipMoved       = define(1116, zapcore.InfoLevel, "leadership is transferred because this VM should not hold the group", "")
	SnapshotInstalled     = define(1111, zapcore.InfoLevel, "a snapshot from the leader replaced the state", "")
)
