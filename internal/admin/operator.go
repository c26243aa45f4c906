package admin

import (
	"context"
	"net"

	"egretramp/internal/identity"
)

type connKey struct{}

// withConn notes a request's connection, as http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// authenticatedOperator returns the operator whose certificate came with the request's connection; empty
// if the connection proves nothing.
func authenticatedOperator(ctx context.Context) string {
	c, ok := ctx.Value(connKey{}).(*identity.Conn)
	if !ok {
		return ""
	}
	id, _ := c.Peer()
	return id.Name
}
