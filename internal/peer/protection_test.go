package peer

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/identity"
)

// testIssuer creates Protections with certificates issued by one authority.
type testIssuer struct {
	t         *testing.T
	authority *identity.Authority
	issued    identity.Issued
}

func newTestIssuer(t *testing.T) *testIssuer {
	t.Helper()
	authority, issued, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	return &testIssuer{t: t, authority: authority, issued: issued}
}

func (i *testIssuer) protection(vm string, mode identity.Mode) *identity.Protection {
	i.t.Helper()
	dir := i.t.TempDir()
	files := identity.Files{
		Certificate: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "ca"),
	}
	issued, err := i.authority.Issue(identity.Identity{Role: identity.VM, Name: vm}, time.Now(), time.Hour)
	require.NoError(i.t, err)
	require.NoError(i.t, issued.Write(files.Certificate, files.Key))
	require.NoError(i.t, os.WriteFile(files.Authority, i.issued.Certificate, 0o600))
	credentials, err := identity.Load(files, nil)
	require.NoError(i.t, err)
	return &identity.Protection{Credentials: credentials, Mode: mode}
}

// startPair runs VM a under senderName and VM b, each with its own protection. delivered receives
// the sender of each message that b accepts.
func startPair(t *testing.T, senderName string, a, b *identity.Protection) (na, nb *Node, delivered chan string) {
	t.Helper()
	la, lb := listen(t), listen(t)
	log := events.FromZap(zap.NewNop())
	na = New(Options{VM: senderName, Peers: map[string]string{"b": lb.Addr().String()}, Events: log, Protection: a})
	nb = New(Options{VM: "b", Peers: map[string]string{"a": la.Addr().String()}, Events: log, Protection: b})
	nb.HandleCalls("name", func(_ context.Context, from string, _ []byte) ([]byte, error) { return []byte(from), nil })
	delivered = make(chan string, maxQueueLength)
	nb.HandleMessages("hello", func(from string, _ []byte) { delivered <- from })
	serveNode(t, na, la)
	serveNode(t, nb, lb)
	return na, nb, delivered
}

func callB(t *testing.T, a *Node) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	answer, err := a.Call(ctx, "b", "name", nil)
	return string(answer), err
}

// TestNode_AdjacentModesInteroperate connects two VMs in each pair of modes that are equal or one
// step apart in a rolling migration to TLS.
func TestNode_AdjacentModesInteroperate(t *testing.T) {
	issuer := newTestIssuer(t)
	steps := []identity.Mode{"", identity.Accept, identity.Dial, identity.Require}
	protection := func(vm string, mode identity.Mode) *identity.Protection {
		if mode == "" {
			return nil
		}
		return issuer.protection(vm, mode)
	}
	for i, mode := range steps {
		for _, other := range steps[max(i-1, 0):min(i+2, len(steps))] {
			t.Run(string(mode+" with "+other), func(t *testing.T) {
				a, b, _ := startPair(t, "a", protection("a", mode), protection("b", other))
				require.Eventually(t, func() bool { return a.Connected("b") && b.Connected("a") }, waitTimeout, 10*time.Millisecond)
				from, err := callB(t, a)
				require.NoError(t, err)
				require.Equal(t, "a", from)
			})
		}
	}
}

func TestNode_RejectsUnauthenticatedSenders(t *testing.T) {
	issuer, otherIssuer := newTestIssuer(t), newTestIssuer(t)
	for name, c := range map[string]struct {
		name string
		a    *identity.Protection
	}{
		"sender name not in the certificate": {"c", issuer.protection("a", identity.Require)},
		"untrusted authority":                {"a", otherIssuer.protection("a", identity.Require)},
		"no certificate":                     {"a", nil},
	} {
		t.Run(name, func(t *testing.T) {
			a, _, delivered := startPair(t, c.name, c.a, issuer.protection("b", identity.Require))
			a.Send("b", "hello", nil)
			_, err := callB(t, a)
			require.Error(t, err)
			require.False(t, a.Connected("b"))
			require.Empty(t, delivered)
		})
	}
}

// TestNode_DialVerifiesPeerIdentity checks that a call fails if the address of VM b leads to a server
// with the certificate of VM c.
func TestNode_DialVerifiesPeerIdentity(t *testing.T) {
	issuer := newTestIssuer(t)
	a, _, _ := startPair(t, "a", issuer.protection("a", identity.Require), issuer.protection("c", identity.Require))
	_, err := callB(t, a)
	require.Error(t, err)
}
