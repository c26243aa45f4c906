package events

import "go.uber.org/zap/zapcore"

// Events of orders to engines, 2200 to 2299.
var (
	OrderRightTaken = define(2200, zapcore.InfoLevel, "this VM has the right to order the engines of its zone", "")
	OrderRightLost  = define(2201, zapcore.InfoLevel, "this VM no longer has the right to order the engines of its zone", "")
	OrderSent       = define(2202, zapcore.InfoLevel, "an engine was ordered to load or unload a model", "")
	OrderEnded      = define(2203, zapcore.InfoLevel, "a change of an engine ended",
		"see its code; all but done and loaded are planned anew")
	OrderRefused = define(2204, zapcore.WarnLevel, "an engine refused an order because it has seen a higher fencing number",
		"nothing, if it comes once; else find out who else orders the engine")
)
