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
	// ControlSilence is how long a VM waits for control before it asks VMs of its zone.
	ControlSilence = 1500 * time.Millisecond
	// FenceDelay is how long control hears nothing of a VM before it denies it renewals.
	FenceDelay = 2500 * time.Millisecond
	// SponsorsAsked is how many VMs of the zone are asked at a time when control is silent.
	SponsorsAsked = 3
)

// SurelyOver returns how long to wait until a period that another VM measures is over.
func SurelyOver(period time.Duration) time.Duration {
	return period + period*ClockDriftPerMille/1000 + LeaseMargin
}
