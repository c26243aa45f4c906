package events

import "go.uber.org/zap/zapcore"

// Events of a VM's membership in the fleet, 2100 to 2199.
var (
	FleetBadConfig = define(2102, zapcore.ErrorLevel, "an accepted configuration does not pass this VM's checks",
		"run the same release on all VMs before applying files that need the newer release")
	FleetRemoved = define(2105, zapcore.WarnLevel, "the control group removed this VM from the membership; it continues under a new incarnation",
		"nothing if the VM was partitioned or paused; otherwise check its link to the control VMs")
	FleetElected  = define(2103, zapcore.InfoLevel, "this VM leads the control group", "")
	FleetResigned = define(2104, zapcore.InfoLevel, "this VM no longer leads the control group", "")
)
