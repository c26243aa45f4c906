package harness

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/identity"
	"egretramp/internal/settings"
)

// adminAccess holds how the harness connects to the VMs' administration API as an operator.
type adminAccess struct {
	scheme    string
	transport *http.Transport
	arguments []string // for egretrampctl
}

// plainAccess returns access without TLS. Connections are never reused, so that no request is sent
// on one to a VM that has been killed.
func plainAccess() adminAccess {
	return adminAccess{scheme: "http", transport: &http.Transport{DisableKeepAlives: true}}
}

// certificates issues the certificates of a fleet's processes.
type certificates struct {
	folder    string
	authority *identity.Authority
}

func newCertificates(folder string) (*certificates, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "harness: cannot create a folder")
	}
	authority, issued, err := identity.NewAuthority("harness", time.Now())
	if err != nil {
		return nil, err
	}
	c := &certificates{folder: folder, authority: authority}
	return c, errors.Wrap(os.WriteFile(c.authorityPath(), issued.Certificate, 0o600), "harness: cannot write a file")
}

func (c *certificates) authorityPath() string {
	return filepath.Join(c.folder, "authority.crt")
}

func (c *certificates) issue(id identity.Identity) (identity.Files, error) {
	f := identity.Files{
		Certificate: filepath.Join(c.folder, id.Name+".crt"),
		Key:         filepath.Join(c.folder, id.Name+".key"),
		Authority:   c.authorityPath(),
	}
	issued, err := c.authority.Issue(id, time.Now(), identity.CertificateLifetime)
	if err != nil {
		return f, err
	}
	return f, issued.Write(f.Certificate, f.Key)
}

// settings issues a VM's certificate and returns the tls block of its settings.
func (c *certificates) settings(vm string) (settings.TLS, error) {
	f, err := c.issue(identity.Identity{Role: identity.VM, Name: vm})
	return settings.TLS{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Mode: string(identity.Require)}, err
}

// access issues the harness an operator's certificate and returns access with TLS.
func (c *certificates) access() (adminAccess, error) {
	f, err := c.issue(identity.Identity{Role: identity.Operator, Name: operator})
	if err != nil {
		return adminAccess{}, err
	}
	keeper, err := identity.Load(f, nil)
	if err != nil {
		return adminAccess{}, err
	}
	a := plainAccess()
	a.scheme = "https"
	a.transport.TLSClientConfig = keeper.ClientConfig("")
	a.arguments = []string{"--tls-certificate", f.Certificate, "--tls-key", f.Key, "--tls-authority", f.Authority}
	return a, nil
}

// enableTLS issues certificates to all VMs and the harness.
func (f *Fleet) enableTLS() error {
	c, err := newCertificates(filepath.Join(f.opts.Dir, "tls"))
	if err != nil {
		return err
	}
	if f.access, err = c.access(); err != nil {
		return err
	}
	for _, vm := range f.VMs {
		if vm.Settings.TLS, err = c.settings(vm.Name); err != nil {
			return err
		}
	}
	return nil
}

// AdminTransport returns the HTTP transport for requests to the VMs' administration API.
func (f *Fleet) AdminTransport() *http.Transport { return f.access.transport }

// AdminURL returns the URL of a path in the VM's administration API.
func (v *VM) AdminURL(path string) string {
	return v.fleet.access.scheme + "://" + v.Settings.Listen.Admin + path
}
