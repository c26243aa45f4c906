package events

import "go.uber.org/zap/zapcore"

// Events of the connections between VMs, 1900 to 1949.
var (
	PeerConnected = define(1900, zapcore.InfoLevel, "connected to a VM", "")
	PeerLost      = define(1901, zapcore.WarnLevel, "lost the connection to a VM",
		"check the network between the two VMs if it does not come back")
)
