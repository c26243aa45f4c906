package admin

import (
	"context"
	"net"

	"egretramp/internal/identity"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn stores a request's connection in its context. It is used as http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// authenticatedOperator returns the operator named in the client certificate of the request's
// connection; empty if the connection is not authenticated.
func authenticatedOperator(ctx context.Context) string {
	c, ok := ctx.Value(connKey{}).(*identity.Conn)
	if !ok {
		return ""
	}
	id, _ := c.Peer()
	return id.Name
}
