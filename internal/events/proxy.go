package events

import "go.uber.org/zap/zapcore"

// Events of the entry VMs' forwarding, 2300 to 2399. They carry the request's ID and what was
// decided on: the configuration's version, the upstream and its start, ages and counts.
var (
	ProxyAnswered      = define(2300, zapcore.InfoLevel, "a request got its upstream's answer", "")
	ProxyRefused       = define(2301, zapcore.InfoLevel, "a request was answered by this VM", "")
	ProxyAttemptFailed = define(2302, zapcore.InfoLevel, "a try at an upstream brought no answer", "")
	ProxyCallerGone    = define(2303, zapcore.InfoLevel, "the caller left before its answer was complete", "")
	ProxyMalformed     = define(2304, zapcore.InfoLevel, "a request could not be read", "")
)
