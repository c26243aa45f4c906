package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"egretramp/internal/events"
	"egretramp/internal/identity"
)

// acceptRetryDelay is the delay after a failed Accept, for example when the process is out of file
// descriptors.
const acceptRetryDelay = 100 * time.Millisecond

var errSenderMismatch = errors.New("the message names another VM than the connection's certificate")

// serveConns serves each connection of a listener until ctx ends. Each handler's context carries its
// connection, so that checkSender can read the identity of the other side.
func serveConns(ctx context.Context, listener net.Listener, handler drpc.Handler) error {
	server := drpcserver.NewWithOptions(handler, serverOptions())
	var wg conc.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		wg.Go(func() { _ = server.ServeOne(drpcctx.WithTransport(ctx, conn), conn) })
	}
}

// checkSender returns an error, and emits an event, if from is not the VM authenticated on the
// connection. On an unauthenticated connection any sender is accepted.
func (s *server) checkSender(ctx context.Context, from string) error {
	transport, _ := drpcctx.Transport(ctx)
	conn, ok := transport.(*identity.Conn)
	if !ok {
		return nil
	}
	authenticated, ok := conn.Peer()
	if !ok || authenticated.Name == from {
		return nil
	}
	s.node.opts.Events.Emit(events.PeerRefused, zap.String("peer", authenticated.String()), zap.String("named", from), zap.Error(errSenderMismatch))
	return errSenderMismatch
}
