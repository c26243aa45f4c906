package events

import "go.uber.org/zap/zapcore"

// Events of the callers' gateway, 1700 to 1799.
var (
	AttemptFailed = define(1700, zapcore.WarnLevel, "an attempt failed on an upstream",
		"look at the upstream named; the call was retried elsewhere if it may be repeated")
)
