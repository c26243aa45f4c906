package events

import "go.uber.org/zap/zapcore"

// Events of the control state, 1200 to 1299.
var (
	ConfigInForce = define(1200, zapcore.InfoLevel, "configuration came into force", "")
	KeysWithdrawn = define(1201, zapcore.InfoLevel, "keys were withdrawn", "")
	MembersChange = define(1202, zapcore.InfoLevel, "the fleet's membership changed", "")
	StateConflict = define(1203, zapcore.ErrorLevel, "another VM sent control state that contradicts the state of this VM",
		"compare the status of the control VMs; one of them may be running on another group's data")
)
