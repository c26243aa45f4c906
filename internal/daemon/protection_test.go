package daemon

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/admin/api"
	"egretramp/internal/fakes"
	"egretramp/internal/identity"
	"egretramp/internal/settings"
)

// testCertificates writes certificates issued by one authority to a folder.
type testCertificates struct {
	t         *testing.T
	authority *identity.Authority
	folder    string
}

func newTestCertificates(t *testing.T) *testCertificates {
	t.Helper()
	authority, issued, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	c := &testCertificates{t: t, authority: authority, folder: t.TempDir()}
	require.NoError(t, os.WriteFile(c.path("authority.crt"), issued.Certificate, 0o600))
	return c
}

func (c *testCertificates) path(name string) string { return filepath.Join(c.folder, name) }

func (c *testCertificates) files(id identity.Identity) identity.Files {
	c.t.Helper()
	issued, err := c.authority.Issue(id, time.Now(), time.Hour)
	require.NoError(c.t, err)
	f := identity.Files{Certificate: c.path(id.Name + ".crt"), Key: c.path(id.Name + ".key"), Authority: c.path("authority.crt")}
	require.NoError(c.t, issued.Write(f.Certificate, f.Key))
	return f
}

// operator returns an HTTP client for the administration API that presents a certificate for id.
func (c *testCertificates) operator(id identity.Identity) *http.Client {
	c.t.Helper()
	keeper, err := identity.Load(c.files(id), nil)
	require.NoError(c.t, err)
	return &http.Client{Timeout: waitTimeout, Transport: &http.Transport{TLSClientConfig: keeper.ClientConfig("")}}
}

// TestFleet_MutualTLS runs a fleet whose VMs and operators authenticate with certificates.
func TestFleet_MutualTLS(t *testing.T) {
	certificates := newTestCertificates(t)
	f := newTestFleetWith(t, func(s *settings.Settings) {
		files := certificates.files(identity.Identity{Role: identity.VM, Name: s.VM})
		s.TLS = settings.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority, Mode: settings.DefaultTLSMode}
	})
	admin := f.daemons[0].settings.Listen.Admin
	apply := "https://" + admin + api.PathApply + "?operator=somebody"
	ana := certificates.operator(identity.Identity{Role: identity.Operator, Name: "ana"})
	resp, err := ana.Post(apply, "application/json", bytes.NewReader([]byte(mustText(t, baseFile(1)))))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var applied api.Applied
	require.NoError(t, json.Unmarshal(body, &applied), string(body))
	require.Equal(t, "ana", applied.Operator, "the operator must be taken from the certificate, not from the request")

	for what, client := range map[string]*http.Client{
		"another VM":        certificates.operator(identity.Identity{Role: identity.VM, Name: "vm9"}),
		"another authority": newTestCertificates(t).operator(identity.Identity{Role: identity.Operator, Name: "eve"}),
	} {
		_, err := client.Post(apply, "application/json", bytes.NewReader([]byte(mustText(t, baseFile(2)))))
		require.Error(t, err, what)
	}
	_, err = http.Get("http://" + admin + api.PathStatus)
	require.Error(t, err, "without TLS")

	f.engine("engine-0", "zone0")
	f.waitForReplicas(1)
	for vm := range f.daemons {
		f.eventually("the VM does not serve calls", func() bool {
			r := f.send(vm, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("a wig")}, false))
			return r.status == http.StatusOK
		})
	}
}

func TestNew_RefusesAnotherVMsCertificate(t *testing.T) {
	certificates := newTestCertificates(t)
	files := certificates.files(identity.Identity{Role: identity.VM, Name: "vm1"})
	s := &settings.Settings{
		VM: "vm0", LogLevel: settings.DefaultLogLevel,
		TLS: settings.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority, Mode: settings.DefaultTLSMode},
	}
	_, err := New(s, "test")
	require.ErrorContains(t, err, "is for egretramp:vm:vm1, this is egretramp:vm:vm0")
	s.TLS.Key = certificates.path("none")
	_, err = New(s, "test")
	require.ErrorContains(t, err, "none")
}
