package events

import "go.uber.org/zap/zapcore"

// Events of upstreams, 1500 to 1599.
var (
	UpstreamJoined      = define(1500, zapcore.InfoLevel, "upstream registered", "")
	UpstreamLeft        = define(1501, zapcore.InfoLevel, "upstream deregistered", "")
	UpstreamUnreachable = define(1502, zapcore.WarnLevel, "upstream stopped sending announcements", "check the upstream's process and network")
	AnnouncementRefused = define(1503, zapcore.WarnLevel, "announcement refused",
		"compare the upstream's class, secret, zone and served names with the operators' file")
	UpstreamNameTaken = define(1504, zapcore.WarnLevel, "announcement dropped: an upstream of another class uses the same name",
		"give each upstream a unique name; if the names are right, find out which other processes have the class's secret")
	AnnouncementsFlooding = define(1505, zapcore.WarnLevel, "announcements refused because too many were received",
		"find the sender; other upstreams are not affected")
	RequestUpstreamLost = define(1510, zapcore.WarnLevel, "an upstream was lost while it ran a request; the request's next run gets exclusive use of an upstream",
		"nothing, unless it recurs for the same request")
	RequestQuarantined = define(1511, zapcore.ErrorLevel, "a request is quarantined: two upstreams were lost while they ran it",
		"check the upstreams' own logs for the crash; ask the client account what the request was")
	RequestExceeded = define(1512, zapcore.ErrorLevel, "a further upstream was lost while it ran a quarantined request",
		"such runs were already in progress, or VMs could not exchange state; check which zones were partitioned and which VMs were lost")
	UpstreamEjected = define(1520, zapcore.WarnLevel, "an upstream temporarily receives no calls: it refused a connection, or performs worse than the others of its pool",
		"check the upstream's own log and load")
)
