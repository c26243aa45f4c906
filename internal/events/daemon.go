package events

import "go.uber.org/zap/zapcore"

// Events of the daemon itself, 1000 to 1099.
var (
	DaemonStarted  = define(1000, zapcore.InfoLevel, "daemon started", "")
	DaemonDraining = define(1001, zapcore.InfoLevel, "graceful shutdown started", "")
	DaemonStopped  = define(1002, zapcore.InfoLevel, "daemon stopped", "")
	DaemonCutShort = define(1003, zapcore.WarnLevel, "graceful shutdown reached its time limit with requests in progress",
		"raise shutdown_limit_seconds or end long streams first")
	CertificateReloaded = define(1004, zapcore.InfoLevel, "the changed certificate files were loaded", "")
	CertificateRejected = define(1005, zapcore.ErrorLevel, "the certificate files changed and cannot be used; the previous ones stay in use",
		"read the error and install files that match each other and name this VM")
	CertificateExpiring = define(1006, zapcore.WarnLevel, "this VM's certificate expires soon; other VMs will then refuse it",
		"issue a new certificate and replace the old files with it; no restart is needed")
)
