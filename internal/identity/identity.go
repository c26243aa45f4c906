// Package identity authenticates the processes of a fleet and its operators to each other by mutual
// TLS 1.3, with certificates issued by the fleet's own certificate authority.
//
// A certificate names one Identity in a URI, such as egretramp:vm:north-1. Credentials holds a
// process's own certificate and its trusted authorities, and reloads the files when they change, so
// that certificates are renewed without a restart. Protection.Client and Protection.Listener apply
// the credentials to connections.
package identity

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// Role determines what an identity is allowed to do.
type Role string

// The roles.
const (
	VM       Role = "vm"       // communicates with other VMs on behalf of one VM
	Operator Role = "operator" // uses the administration API
)

const scheme = "egretramp"

// Identity is the subject of a certificate: a VM or an operator.
type Identity struct {
	Role Role
	Name string
}

// String returns the URI that names the identity in a certificate: egretramp:ROLE:NAME.
func (i Identity) String() string {
	return scheme + ":" + string(i.Role) + ":" + i.Name
}

func (i Identity) url() *url.URL {
	return &url.URL{Scheme: scheme, Opaque: string(i.Role) + ":" + i.Name}
}

// Errors of certificates and connections.
var (
	// ErrNoIdentity reports a certificate that names no identity or more than one.
	ErrNoIdentity = errors.New("identity: the certificate names no identity of a fleet")
	// ErrWrongIdentity reports a certificate for an identity other than the expected one.
	ErrWrongIdentity = errors.New("identity: the certificate is somebody else's")
	// ErrPlain reports a connection on which the other side does not use TLS.
	ErrPlain = errors.New("identity: the connection is not protected by TLS")
)

// FromCertificate returns the identity that a certificate names, or ErrNoIdentity.
func FromCertificate(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range c.URIs {
		role, name, ok := strings.Cut(u.Opaque, ":")
		if u.Scheme == scheme && ok && name != "" && (role == string(VM) || role == string(Operator)) {
			found = append(found, Identity{Role: Role(role), Name: name})
		}
	}
	if len(found) != 1 {
		return Identity{}, ErrNoIdentity
	}
	return found[0], nil
}
