package membership

import "time"

// The times of leases.
const (
	// LeaseDuration is how long a lease holds from the sending of its request.
	LeaseDuration = 3 * time.Second
	// RenewInterval is the time between two requests.
	RenewInterval = 1 * time.Second
	// ClockDriftPerMille bounds how much faster one VM's clock runs than another's.
	ClockDriftPerMille = 10
	// LeaseMargin is added by whoever waits for another VM's lease to run out.
	LeaseMargin = 500 * time.Millisecond
	// ControlSilence is how long a VM waits for control before it asks a VM of its zone.
	ControlSilence = 1500 * time.Millisecond
)

// SurelyOver returns how long to wait until a period d that another VM measures is over.
func SurelyOver(d time.Duration) time.Duration {
	return d + d*ClockDriftPerMille/1000 + LeaseMargin
}
