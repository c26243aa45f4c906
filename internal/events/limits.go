package events

import "go.uber.org/zap/zapcore"

// Events of the rate limits, 1400 to 1499.
var (
	RateSharePending = define(1400, zapcore.WarnLevel, "rate shares wait for VMs that have not confirmed the epoch or the split",
		"check the membership; a VM that does not return is removed automatically")
)

// Events of the VM membership and the leases, 2000 to 2099.
var (
	VMStateChanged = define(2000, zapcore.InfoLevel, "another VM's state changed", "")
	LeaseGained    = define(2001, zapcore.InfoLevel, "this VM has a lease and accepts keyed requests", "")
	LeaseLost      = define(2002, zapcore.WarnLevel, "this VM has no lease and refuses keyed requests",
		"check whether it reaches the control group or a VM of its zone, and whether it has received the epoch in force")
	LeaseSponsored = define(2003, zapcore.WarnLevel, "this VM's lease is renewed by its zone because the control group does not respond",
		"repair the partition before cutoff_limit has passed")
	VMRemoving = define(2004, zapcore.WarnLevel, "a VM has certainly stopped; its removal from the membership is proposed", "")
	VMJoining  = define(2005, zapcore.InfoLevel, "a VM requests to join; its addition to the membership is proposed", "")
)
