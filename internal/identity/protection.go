package identity

import (
	"crypto/tls"
	"net"
)

// Mode is a step in migrating a fleet to TLS. A fleet that runs without TLS goes through all three
// modes, with one rolling restart for each.
type Mode string

// The modes.
const (
	// Accept accepts TLS and plain connections, and dials without TLS.
	Accept Mode = "accept"
	// Dial accepts TLS and plain connections, and dials with TLS.
	Dial Mode = "dial"
	// Require accepts only TLS connections, and dials with TLS.
	Require Mode = "require"
)

// Protection configures TLS for a process's connections. A nil Protection disables TLS.
type Protection struct {
	Credentials *Credentials
	Mode        Mode
	// Refused, if not nil, is called for each rejected connection.
	Refused func(remote net.Addr, err error)
}

// Client wraps a connection dialed to a VM in TLS, unless the mode is Accept. The server must
// authenticate as this VM before any payload is sent.
func (p *Protection) Client(c net.Conn, vm string) net.Conn {
	if p == nil || p.Mode == Accept {
		return c
	}
	return tls.Client(c, p.Credentials.ClientConfig(vm))
}

// Listener wraps l so that it accepts only clients with the given role, and plain connections unless
// the mode is Require.
func (p *Protection) Listener(l net.Listener, role Role) net.Listener {
	if p == nil {
		return l
	}
	return p.Credentials.Listener(l, ListenerOptions{Role: role, Plain: p.Mode != Require, Refused: p.Refused})
}
