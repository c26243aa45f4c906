package identity

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// testAuthority issues certificates into a temporary directory.
type testAuthority struct {
	t         *testing.T
	authority *Authority
	issued    Issued
	folder    string
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a, issued, err := NewAuthority("test", time.Now())
	require.NoError(t, err)
	return &testAuthority{t: t, authority: a, issued: issued, folder: t.TempDir()}
}

// files issues a certificate for id and writes it, its key and the authority to files named name.
func (a *testAuthority) files(name string, id Identity, lifetime time.Duration) Files {
	a.t.Helper()
	f := Files{
		Certificate: filepath.Join(a.folder, name+".crt"),
		Key:         filepath.Join(a.folder, name+".key"),
		Authority:   filepath.Join(a.folder, name+".ca"),
	}
	issued, err := a.authority.Issue(id, time.Now(), lifetime)
	require.NoError(a.t, err)
	require.NoError(a.t, issued.Write(f.Certificate, f.Key))
	require.NoError(a.t, os.WriteFile(f.Authority, a.issued.Certificate, 0o600))
	return f
}

func (a *testAuthority) credentials(id Identity) *Credentials {
	a.t.Helper()
	k, err := Load(a.files(id.Name, id, time.Hour), nil)
	require.NoError(a.t, err)
	return k
}

// exchangeByte connects a client to a listener and sends one byte in each direction. It returns the
// client's identity as seen by the server, and the error of each side.
func exchangeByte(t *testing.T, server *Credentials, opts ListenerOptions, client func(net.Conn) net.Conn) (peer Identity, serverErr, clientErr error) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := server.Listener(raw, opts)
	defer func() { _ = l.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			serverErr = err
			return
		}
		defer func() { _ = c.Close() }()
		if _, serverErr = io.ReadFull(c, make([]byte, 1)); serverErr != nil {
			return
		}
		peer, _ = c.(*Conn).Peer()
		_, serverErr = c.Write([]byte{2})
	}()
	c, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	secured := client(c)
	_, clientErr = secured.Write([]byte{1})
	answer := make([]byte, 1)
	if clientErr == nil {
		_, clientErr = io.ReadFull(secured, answer)
	}
	if clientErr == nil && answer[0] != 2 {
		clientErr = errors.New("unexpected response byte")
	}
	_ = secured.Close()
	<-done
	return peer, serverErr, clientErr
}

func tlsClient(k *Credentials, vm string) func(net.Conn) net.Conn {
	return func(c net.Conn) net.Conn { return tls.Client(c, k.ClientConfig(vm)) }
}

func plainClient(c net.Conn) net.Conn { return c }

func TestListener_IdentifiesPeer(t *testing.T) {
	a := newTestAuthority(t)
	north, south := Identity{VM, "north-1"}, Identity{VM, "south-1"}
	peer, serverErr, clientErr := exchangeByte(t, a.credentials(north), ListenerOptions{Role: VM}, tlsClient(a.credentials(south), "north-1"))
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
	require.Equal(t, south, peer)
}

func TestListener_RejectsInvalidPeers(t *testing.T) {
	a, otherAuthority := newTestAuthority(t), newTestAuthority(t)
	server := a.credentials(Identity{VM, "north-1"})
	south := a.credentials(Identity{VM, "south-1"})
	expired := a.files("expiring", Identity{VM, "south-2"}, time.Hour)
	old, err := Load(expired, nil)
	require.NoError(t, err)
	old.loaded.certificate = a.expiredCertificate(Identity{VM, "south-2"})
	for name, client := range map[string]func(net.Conn) net.Conn{
		"no TLS":                    plainClient,
		"operator role":             tlsClient(a.credentials(Identity{Operator, "ana"}), "north-1"),
		"untrusted authority":       tlsClient(otherAuthority.credentials(Identity{VM, "south-1"}), "north-1"),
		"expired certificate":       tlsClient(old, "north-1"),
		"client expects another VM": tlsClient(south, "north-2"),
		"no client certificate":     func(c net.Conn) net.Conn { return tls.Client(c, &tls.Config{InsecureSkipVerify: true}) },
		"TLS 1.2":                   tls12Client(south),
		"malformed handshake":       func(c net.Conn) net.Conn { _, _ = c.Write([]byte{tlsHandshakeRecord, 0, 0, 0, 0}); return c },
	} {
		t.Run(name, func(t *testing.T) {
			refused := make(chan error, 1)
			opts := ListenerOptions{Role: VM, Refused: func(_ net.Addr, err error) { refused <- err }}
			peer, serverErr, clientErr := exchangeByte(t, server, opts, client)
			require.Error(t, serverErr)
			require.Error(t, clientErr)
			require.Zero(t, peer)
			require.Error(t, <-refused)
		})
	}
}

func tls12Client(k *Credentials) func(net.Conn) net.Conn {
	return func(c net.Conn) net.Conn {
		config := k.ClientConfig("north-1")
		config.MinVersion, config.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
		return tls.Client(c, config)
	}
}

// expiredCertificate issues a certificate that expired one hour ago.
func (a *testAuthority) expiredCertificate(id Identity) *tls.Certificate {
	a.t.Helper()
	issued, err := a.authority.Issue(id, time.Now().Add(-2*time.Hour), time.Hour)
	require.NoError(a.t, err)
	c, err := tls.X509KeyPair(issued.Certificate, issued.Key)
	require.NoError(a.t, err)
	return &c
}

func TestListener_AcceptsPlaintextDuringMigration(t *testing.T) {
	a := newTestAuthority(t)
	server := a.credentials(Identity{VM, "north-1"})
	opts := ListenerOptions{Role: VM, Plain: true}
	peer, serverErr, clientErr := exchangeByte(t, server, opts, plainClient)
	require.NoError(t, errors.CombineErrors(serverErr, clientErr))
	require.Zero(t, peer)
	south := Identity{VM, "south-1"}
	peer, serverErr, clientErr = exchangeByte(t, server, opts, tlsClient(a.credentials(south), "north-1"))
	require.NoError(t, errors.CombineErrors(serverErr, clientErr))
	require.Equal(t, south, peer)
}

func TestCredentials_ReloadsChangedFiles(t *testing.T) {
	a := newTestAuthority(t)
	id := Identity{VM, "north-1"}
	files := a.files("north-1", id, time.Hour)
	var reloadResults []error
	k, err := Load(files, func(err error) { reloadResults = append(reloadResults, err) })
	require.NoError(t, err)
	first := k.Expires()

	renew := func(id Identity) {
		issued, err := a.authority.Issue(id, time.Now(), 2*time.Hour)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(files.Certificate, append(issued.Certificate, '\n'), 0o600))
		require.NoError(t, os.WriteFile(files.Key, append(issued.Key, '\n'), 0o600))
	}
	require.NoError(t, os.WriteFile(files.Certificate, []byte("half written"), 0o600))
	require.Equal(t, first, k.Expires(), "the previous certificate stays in use")
	require.Len(t, reloadResults, 1)
	require.Error(t, reloadResults[0])

	renew(id)
	require.Greater(t, k.Expires(), first)
	require.Len(t, reloadResults, 2)
	require.NoError(t, reloadResults[1])

	renewed := k.Expires()
	renew(Identity{VM, "south-1"})
	require.Equal(t, renewed, k.Expires())
	require.ErrorIs(t, reloadResults[2], ErrWrongIdentity)
	require.Equal(t, id, k.Identity())
}

func TestLoad_RejectsUnusableFiles(t *testing.T) {
	a, otherAuthority := newTestAuthority(t), newTestAuthority(t)
	good := a.files("a", Identity{VM, "a"}, time.Hour)
	other := otherAuthority.files("a", Identity{VM, "a"}, time.Hour)
	for name, files := range map[string]Files{
		"missing certificate file":   {Certificate: "none", Key: good.Key, Authority: good.Authority},
		"key of another certificate": {Certificate: good.Certificate, Key: other.Key, Authority: good.Authority},
		"untrusted authority":        {Certificate: good.Certificate, Key: good.Key, Authority: other.Authority},
		"key instead of authority":   {Certificate: good.Certificate, Key: good.Key, Authority: good.Key},
	} {
		_, err := Load(files, nil)
		require.Error(t, err, name)
	}
	_, err := Load(a.files("late", Identity{VM, "late"}, -time.Minute), nil)
	require.Error(t, err, "expired")
}

func TestIssued_WriteNeverOverwrites(t *testing.T) {
	a := newTestAuthority(t)
	files := a.files("a", Identity{VM, "a"}, time.Hour)
	issued, err := a.authority.Issue(Identity{VM, "a"}, time.Now(), time.Hour)
	require.NoError(t, err)
	require.ErrorIs(t, issued.Write(files.Certificate, files.Key), os.ErrExist)
	other := filepath.Join(a.folder, "other.key")
	require.ErrorIs(t, issued.Write(files.Certificate, other), os.ErrExist)
	require.NoFileExists(t, other)
	info, err := os.Stat(files.Key)
	require.NoError(t, err)
	require.EqualValues(t, 0o600, info.Mode().Perm())
}
