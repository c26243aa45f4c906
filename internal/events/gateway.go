package events

import "go.uber.org/zap/zapcore"

// Events of the gateway that serves callers, 1700 to 1799.
var (
	AttemptFailed = define(1700, zapcore.WarnLevel, "an attempt failed on an upstream",
		"check the named upstream; the call was retried elsewhere if it may be repeated")
)
