package events

import "go.uber.org/zap/zapcore"

// Events of VMs that find each other by seeds, 2400 to 2499.
var (
	NodeStarted            = define(2400, zapcore.InfoLevel, "VM started", "")
	NodeStopping           = define(2401, zapcore.InfoLevel, "VM stops: it is not ready any more and serves what still comes", "")
	NodeStopped            = define(2402, zapcore.InfoLevel, "VM stopped", "")
	NodeReloaded           = define(2403, zapcore.InfoLevel, "the settings were read again", "")
	NodeReloadFailed       = define(2404, zapcore.ErrorLevel, "the settings can't be read; the former ones stay in use", "correct the settings file")
	NodeControlReachable   = define(2405, zapcore.InfoLevel, "a control VM answers", "")
	NodeControlUnreachable = define(2406, zapcore.WarnLevel, "a control VM doesn't answer", "")
	NodeConfigInForce      = define(2407, zapcore.InfoLevel, "a configuration came into force on this VM", "")
	NodeBadConfig          = define(2408, zapcore.ErrorLevel, "a configuration from the control group can't be read", "compare the releases of the VMs")
	NodeUpstreamChanged    = define(2409, zapcore.InfoLevel, "an upstream's registration changed", "")
	NodeUpstreamExpired    = define(2410, zapcore.WarnLevel, "an upstream stopped registering", "")
	NodeStoreFormed        = define(2411, zapcore.InfoLevel, "the VMs that form the store group were chosen", "")
	NodeOperatorCommand    = define(2412, zapcore.InfoLevel, "an operator's order was answered", "")
	NodeSettlementFailed   = define(2413, zapcore.WarnLevel, "a turn's reservation could not be settled; it counts with all its tokens", "")
	NodeReplicaFailed      = define(2414, zapcore.ErrorLevel, "the replica of this VM failed", "read the error; the process ends and starts again")
	PermitsUnreachable     = define(2416, zapcore.WarnLevel, "the coordinator of rates doesn't answer; this VM goes on with its share", "")
	PermitsReachable       = define(2417, zapcore.InfoLevel, "the coordinator of rates answers", "")
	ZoneUnreachable        = define(2418, zapcore.WarnLevel, "nothing comes from an availability zone; what hangs there is given up", "check the network between the zones")
	ZoneReachable          = define(2419, zapcore.InfoLevel, "an availability zone can be reached again", "")
	NodeIsolated           = define(2420, zapcore.WarnLevel, "a partition separates this VM from the store; it is not ready, since callers are better off elsewhere", "check the network between the zones")
	NodeNotIsolated        = define(2421, zapcore.InfoLevel, "this VM is ready again after a partition", "")
	NodeLogDropped         = define(2415, zapcore.WarnLevel, "log lines were dropped because they came faster than they could be written", "")
)
