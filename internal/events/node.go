package events

import "go.uber.org/zap/zapcore"

// Events of VMs that discover each other through seeds, 2400 to 2499.
var (
	NodeStarted            = define(2400, zapcore.InfoLevel, "VM started", "")
	NodeStopping           = define(2401, zapcore.InfoLevel, "VM is stopping: it reports not ready and still serves incoming requests", "")
	NodeStopped            = define(2402, zapcore.InfoLevel, "VM stopped", "")
	NodeReloaded           = define(2403, zapcore.InfoLevel, "the settings were reloaded", "")
	NodeReloadFailed       = define(2404, zapcore.ErrorLevel, "the settings can't be read; the previous ones stay in use", "correct the settings file")
	NodeControlReachable   = define(2405, zapcore.InfoLevel, "a control VM responds", "")
	NodeControlUnreachable = define(2406, zapcore.WarnLevel, "a control VM does not respond", "")
	NodeConfigInForce      = define(2407, zapcore.InfoLevel, "a configuration came into force on this VM", "")
	NodeBadConfig          = define(2408, zapcore.ErrorLevel, "a configuration from the control group can't be decoded", "compare the releases of the VMs")
	NodeUpstreamChanged    = define(2409, zapcore.InfoLevel, "an upstream's registration changed", "")
	NodeUpstreamExpired    = define(2410, zapcore.WarnLevel, "an upstream's registration expired", "")
	NodeStoreFormed        = define(2411, zapcore.InfoLevel, "the VMs that form the store groups were selected", "")
	NodeOperatorCommand    = define(2412, zapcore.InfoLevel, "an operator's command ended", "")
	NodeSettlementFailed   = define(2413, zapcore.WarnLevel, "a turn's reservation could not be settled; all its tokens count as used", "")
	NodeReplicaFailed      = define(2414, zapcore.ErrorLevel, "the replica of this VM failed", "read the error; the process exits and is restarted")
	PermitsUnreachable     = define(2416, zapcore.WarnLevel, "the rate coordinator does not respond; this VM continues with its share", "")
	PermitsReachable       = define(2417, zapcore.InfoLevel, "the rate coordinator responds", "")
	UpstreamLimitStated    = define(2424, zapcore.InfoLevel, "an upstream states a new rate limit in its responses", "")
	UpstreamLimitEnded     = define(2425, zapcore.InfoLevel, "an upstream no longer states a rate limit", "")
	UpstreamLimitMalformed = define(2426, zapcore.WarnLevel, "an upstream states a rate limit that can't be parsed; the previous one stays in force", "check the upstream's release and settings")
	ZoneUnreachable        = define(2418, zapcore.WarnLevel, "an availability zone is unreachable; attempts in progress there are aborted", "check the network between the zones")
	ZoneReachable          = define(2419, zapcore.InfoLevel, "an availability zone is reachable again", "")
	NodeIsolated           = define(2420, zapcore.WarnLevel, "a partition separates this VM from the store; it reports not ready so that callers use another VM", "check the network between the zones")
	NodeNotIsolated        = define(2421, zapcore.InfoLevel, "this VM is ready again after a partition", "")
	NodeStrikeReceived     = define(2422, zapcore.InfoLevel, "another VM's record of a request that crashed upstreams was received", "")
	NodeStrikesNotStored   = define(2423, zapcore.ErrorLevel, "the records of requests that crashed upstreams can't be stored or read; other VMs still have them", "check the disk of the VM")
	NodeLogDropped         = define(2415, zapcore.WarnLevel, "log lines were dropped because they were logged faster than they could be written", "")
)
