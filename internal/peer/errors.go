package peer

import "fmt"

// UnreachableError reports that a call was certainly not delivered to the other VM.
type UnreachableError struct {
	VM    string
	Cause error
}

// Error returns the VM and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("VM %s is not reachable: %v", e.VM, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// LostError reports that the outcome of a call is unknown: it may or may not have been executed on
// the other VM.
type LostError struct {
	VM    string
	Cause error
}

// Error returns the VM and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("call to VM %s was lost: %v", e.VM, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// RemoteError is an error returned by the handler on the other VM.
type RemoteError struct {
	Code    string // defined by the package that registers the method
	Message string
}

// Error returns the code and the message.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }
