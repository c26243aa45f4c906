package peer

import "fmt"

// UnreachableError says that a call surely did not reach the other VM.
type UnreachableError struct {
	VM    string
	Cause error
}

// Error describes the failed connection.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("VM %s is not reachable: %v", e.VM, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// LostError says that a call may or may not have run on the other VM.
type LostError struct {
	VM    string
	Cause error
}

// Error describes the lost call.
func (e *LostError) Error() string {
	return fmt.Sprintf("call to VM %s was lost: %v", e.VM, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// RemoteError is an error that the other VM's handler returned.
type RemoteError struct {
	Code    string // defined by the slice that owns the method
	Message string
}

// Error returns code and message.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }
