package identity

import (
	"crypto/tls"
	"net"
)

// Mode says how far a fleet has changed over to protected connections. A fleet that runs without
// them goes through all three, one rolling restart each.
type Mode string

// The modes.
const (
	// Accept lets protected and plain connections in, and dials plain ones.
	Accept Mode = "accept"
	// Dial lets both in, and dials protected ones.
	Dial Mode = "dial"
	// Require lets only protected ones in.
	Require Mode = "require"
)

// Protection is how a process protects its connections. Nil protects none.
type Protection struct {
	Credentials *Credentials
	Mode        Mode
	// Refused is told of connections that are turned away; nil: nobody.
	Refused func(remote net.Addr, err error)
}

// Client returns a connection that was dialled to a VM, protected as the mode says. The other
// side has to prove that it is this VM before a byte is sent.
func (p *Protection) Client(c net.Conn, vm string) net.Conn {
	if p == nil || p.Mode == Accept {
		return c
	}
	return tls.Client(c, p.Credentials.ClientConfig(vm))
}

// Listener returns a listener that lets in only who has this role, but for the plain connections
// that the mode lets in.
func (p *Protection) Listener(l net.Listener, role Role) net.Listener {
	if p == nil {
		return l
	}
	return p.Credentials.Listener(l, ListenerOptions{Role: role, Plain: p.Mode != Require, Refused: p.Refused})
}
