package events

import "go.uber.org/zap/zapcore"

// Events of the administration API, 1800 to 1899.
var (
	AdminApplied   = define(1800, zapcore.InfoLevel, "operator's file was accepted", "")
	AdminRefused   = define(1801, zapcore.WarnLevel, "operator's request was refused", "see the code; nothing was changed")
	AdminWithdrawn = define(1802, zapcore.InfoLevel, "operator withdrew keys", "")
	AdminFailed    = define(1803, zapcore.ErrorLevel, "administration request failed", "see the error; try again on another VM")
)
