package membership

import "time"

// The times of leases.
const (
	// LeaseDuration is how long a lease holds from the sending of its request.
	LeaseDuration = 3 * time.Second
	// RenewInterval is the time between two requests.
	RenewInterval = 1 * time.Second
	// ClockDriftPerMille bounds how much slower one VM's clock runs than another's.
	ClockDriftPerMille = 10
	// LeaseMargin is added by whoever waits for another VM's lease to run out.
	LeaseMargin = 500 * time.Millisecond
	// ControlTimeout is how long a VM waits for control before it asks VMs of its zone.
	ControlTimeout = 1500 * time.Millisecond
	// FenceDelay is how long control hears nothing of a VM before it denies it renewals.
	FenceDelay = 2500 * time.Millisecond
	// SponsorsPerRequest is how many VMs of the zone are asked at a time when control is silent.
	SponsorsPerRequest = 3
)

// WithClockMargin returns how long to wait until a period that another VM measures is over.
func WithClockMargin(period time.Duration) time.Duration {
	return period + period*ClockDriftPerMille/1000 + LeaseMargin
}
