package events

import "go.uber.org/zap/zapcore"

// Events of the rate limits, 1400 to 1499.
var (
	RateSharePending = define(1400, zapcore.WarnLevel, "rate shares wait for VMs that have not confirmed the epoch or the split",
		"look at the membership; a VM that is gone for good is removed by itself")
)

// Events of the VM membership and the leases, 2000 to 2099.
var (
	VMStateChanged = define(2000, zapcore.InfoLevel, "another VM's state changed", "")
	LeaseGained    = define(2001, zapcore.InfoLevel, "this VM has a lease and takes keyed requests", "")
	LeaseLost      = define(2002, zapcore.WarnLevel, "this VM has no lease and refuses keyed requests",
		"look whether it reaches control or a VM of its zone, and whether it has learned the epoch in force")
	LeaseSponsored = define(2003, zapcore.WarnLevel, "this VM's lease is renewed by its zone because control is silent",
		"heal the partition before cutoff_limit has passed")
	VMRemoving = define(2004, zapcore.WarnLevel, "a VM has surely stopped; its removal from the membership is proposed", "")
	VMJoining  = define(2005, zapcore.InfoLevel, "a VM asks to join; its addition to the membership is proposed", "")
)
