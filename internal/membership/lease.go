package membership

import "time"

// Durations and bounds of leases.
const (
	// LeaseDuration is how long a lease is valid, counted from the sending of the request.
	LeaseDuration = 3 * time.Second
	// RenewInterval is the time between two requests to renew a lease.
	RenewInterval = 1 * time.Second
	// ClockDriftPerMille bounds how much slower one VM's clock runs than another's.
	ClockDriftPerMille = 10
	// LeaseMargin is added when a VM waits for another VM's lease to expire.
	LeaseMargin = 500 * time.Millisecond
	// ControlTimeout is how long a VM may be without contact with control before it also sends its
	// requests to VMs of its zone.
	ControlTimeout = 1500 * time.Millisecond
	// FenceDelay is how long control waits without contact before it puts a VM on the deny list.
	FenceDelay = 2500 * time.Millisecond
	// SponsorsPerRequest is the number of VMs of the zone that get a request at a time when there is
	// no contact with control.
	SponsorsPerRequest = 3
)

// WithClockMargin returns how long to wait by the local clock until a period has certainly passed
// by another VM's clock.
func WithClockMargin(period time.Duration) time.Duration {
	return period + period*ClockDriftPerMille/1000 + LeaseMargin
}
