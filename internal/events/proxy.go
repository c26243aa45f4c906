package events

import "go.uber.org/zap/zapcore"

// Events of request forwarding on entry VMs, 2300 to 2399. Their fields are the request's ID and
// the inputs of the decision: the configuration's version, the upstream and its start, ages and
// counts.
var (
	ProxyAnswered      = define(2300, zapcore.InfoLevel, "a request received its upstream's response", "")
	ProxyRefused       = define(2301, zapcore.InfoLevel, "a request was answered by this VM", "")
	ProxyAttemptFailed = define(2302, zapcore.InfoLevel, "a try at an upstream brought no answer", "")
	ProxyCallerGone    = define(2303, zapcore.InfoLevel, "the caller disconnected before its response was complete", "")
	ProxyMalformed     = define(2304, zapcore.InfoLevel, "a request could not be parsed", "")
)
