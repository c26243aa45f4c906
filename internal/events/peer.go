package events

import "go.uber.org/zap/zapcore"

// Events of the connections between VMs, 1900 to 1949.
var (
	PeerConnected = define(1900, zapcore.InfoLevel, "connected to a VM", "")
	PeerLost      = define(1901, zapcore.WarnLevel, "lost the connection to a VM",
		"check the network between the two VMs if it does not come back")
	PeerRefused = define(1902, zapcore.WarnLevel, "a connection was refused: it did not prove to be a VM of this fleet, or named another one",
		"look at the error and the remote address; a VM of this fleet needs a valid certificate with its name")
)
