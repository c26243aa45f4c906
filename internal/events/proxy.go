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

	ProxyUpstreamCrashed = define(2305, zapcore.WarnLevel, "an upstream crashed during an attempt", "nothing, unless it recurs for the same fingerprint")
	ProxyQuarantined     = define(2306, zapcore.ErrorLevel, "a request is quarantined: three upstreams crashed during its attempts",
		"check the upstreams' own logs for the crash; ask the client account what the request was")
	ProxyStrikesCleared = define(2307, zapcore.InfoLevel, "a request during which upstreams crashed has succeeded; the crashes no longer count against it", "")
	ProxyUpstreamSilent = define(2308, zapcore.InfoLevel, "an upstream's host fell silent during an attempt, which counts as a crash for some seconds", "")
	ProxyPanic          = define(2309, zapcore.ErrorLevel, "a panic while a request was served; the request was ended", "report the line, which has the stack")

	ProxyOriginUnrecorded = define(2310, zapcore.WarnLevel, "the build that writes a stream could not be recorded; the stream can't be resumed by its caller", "check that the store VMs respond and run the same release")
	ProxyUpstreamLeaving  = define(2311, zapcore.InfoLevel, "a response says that its upstream leaves, which no registration has said yet; other upstreams get its requests", "")
)
