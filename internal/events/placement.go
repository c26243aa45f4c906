package events

import "go.uber.org/zap/zapcore"

// Events of orders to engines, 2200 to 2299.
var (
	OrderRightTaken = define(2200, zapcore.InfoLevel, "this VM has the right to order the engines of its zone", "")
	OrderRightLost  = define(2201, zapcore.InfoLevel, "this VM no longer has the right to order the engines of its zone", "")
	OrderSent       = define(2202, zapcore.InfoLevel, "an engine was ordered to load or unload a model", "")
	OrderEnded      = define(2203, zapcore.InfoLevel, "an order to an engine ended",
		"see its code; a change that ends with any code but done or loaded is planned again")
	OrderRefused = define(2204, zapcore.WarnLevel, "an engine refused an order because it has seen a higher fencing number",
		"nothing if it happens once; otherwise find out which other process orders the engine")
)
