package responsecheck

import "net"

// Conn is a connection for one request. Reads of an invalid response return an error that wraps ErrInvalid.
type Conn struct {
	net.Conn
	response Checker
}

// NewConn returns a Conn on a connection from which nothing was read.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	checked.response.Expect()
	return checked
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.response.Read(c.Conn, p) }
