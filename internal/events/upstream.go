package events

import "go.uber.org/zap/zapcore"

// Events of upstreams, 1500 to 1599.
var (
	UpstreamJoined      = define(1500, zapcore.InfoLevel, "upstream announced itself", "")
	UpstreamLeft        = define(1501, zapcore.InfoLevel, "upstream said goodbye", "")
	UpstreamUnreachable = define(1502, zapcore.WarnLevel, "upstream fell silent", "check the upstream's process and network")
	AnnouncementRefused = define(1503, zapcore.WarnLevel, "announcement refused",
		"compare the upstream's class, secret, zone and served names with the operators' file")
	UpstreamNameTaken = define(1504, zapcore.WarnLevel, "announcement dropped: an upstream of another class has its name",
		"give each upstream a name of its own; if the names are right, find out who holds the class's secret")
	AnnouncementsFlooding = define(1505, zapcore.WarnLevel, "announcements refused because too many came",
		"find the sender; other upstreams are not affected")
	RequestUpstreamLost = define(1510, zapcore.WarnLevel, "an upstream was lost while it ran a request; the request runs alone next",
		"nothing, unless it comes back for the same request")
	RequestQuarantined = define(1511, zapcore.ErrorLevel, "a request is quarantined: two upstreams were lost while they ran it",
		"look at the upstreams' own logs for the crash; ask the client account what the request was")
	RequestExceeded = define(1512, zapcore.ErrorLevel, "a further upstream was lost while it ran a quarantined request",
		"such runs were under way already, or VMs knew nothing of each other; see which zones were cut off and which VMs were lost")
	UpstreamEjected = define(1520, zapcore.WarnLevel, "an upstream gets no calls for a while: it refused a connection, or does worse than the others of its pool",
		"look at the upstream's own log and load")
)
