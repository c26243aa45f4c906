package events

import "go.uber.org/zap/zapcore"

// Events of the connections between VMs, 1900 to 1949.
var (
	PeerConnected = define(1900, zapcore.InfoLevel, "connected to a VM", "")
	PeerLost      = define(1901, zapcore.WarnLevel, "lost the connection to a VM",
		"check the network between the two VMs if the connection is not restored")
	PeerRefused = define(1902, zapcore.WarnLevel, "a connection was refused: the peer did not authenticate as a VM of this fleet, or sent another VM's name",
		"check the error and the remote address; a VM of this fleet needs a valid certificate with its name")
	PeerTooLarge = define(1903, zapcore.ErrorLevel, "a message, a call or its result is too large to be sent to another VM; it was not sent",
		"the kind says what it is: a conversation of this size can't be continued on another VM; shorten it")
)
