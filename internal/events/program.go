package events

import "go.uber.org/zap/zapcore"

// Events of programs, 1300 to 1399.
var (
	ProgramOutcomeUnknown = define(1300, zapcore.WarnLevel, "a command to the program group got no response and may have been applied",
		"check that a majority of the control VMs is reachable")
	ProgramLeaseLost = define(1301, zapcore.WarnLevel, "attempts of this VM are no longer current and were stopped",
		"check this VM's connections to the control VMs and whether it was paused")
	ProgramOverrun = define(1302, zapcore.WarnLevel, "a call used more tokens than the program's budget had left",
		"check that the engine keeps to max_tokens")
	ProgramOrphanSessions = define(1303, zapcore.InfoLevel, "an engine holds sessions that belong to no known program", "")
	ProgramRevokeRefused  = define(1304, zapcore.WarnLevel, "an attempt that was never sent could not be revoked in time", "")
	ProgramMadeInZone     = define(1305, zapcore.InfoLevel, "a program was created in the zone's own group because the majority group did not respond", "")
)
