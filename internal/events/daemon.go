package events

import "go.uber.org/zap/zapcore"

// Events of the daemon itself, 1000 to 1099.
var (
	DaemonStarted  = define(1000, zapcore.InfoLevel, "daemon started", "")
	DaemonDraining = define(1001, zapcore.InfoLevel, "graceful shutdown started", "")
	DaemonStopped  = define(1002, zapcore.InfoLevel, "daemon stopped", "")
	DaemonCutShort = define(1003, zapcore.WarnLevel, "graceful shutdown reached its limit with requests under way",
		"raise shutdown_limit_seconds or end long streams first")
)
