// Package identity lets the processes of a fleet and its operators prove to each other who they
// are, by certificates of an authority of the fleet's own over mutual TLS 1.3.
//
// A certificate names one Identity in a URI, such as egretramp:vm:north-1. A Keeper holds a
// process's own certificate and the authorities that it trusts, and reads the files again when
// they change, so that certificates are renewed without a restart. Client and Listener protect
// connections with what a Keeper holds.
package identity

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// Role is what an identity may do.
type Role string

// The roles.
const (
	VM       Role = "vm"       // speaks for one VM to the others
	Operator Role = "operator" // uses the administration API
)

const scheme = "egretramp"

// Identity is who a certificate speaks for.
type Identity struct {
	Role Role
	Name string
}

// String returns the identity as it stands in a certificate: egretramp:ROLE:NAME.
func (i Identity) String() string {
	return scheme + ":" + string(i.Role) + ":" + i.Name
}

func (i Identity) url() *url.URL {
	return &url.URL{Scheme: scheme, Opaque: string(i.Role) + ":" + i.Name}
}

// Errors of connections.
var (
	// ErrNoIdentity: the certificate names no identity, or several.
	ErrNoIdentity = errors.New("identity: the certificate names no identity of a fleet")
	// ErrWrongIdentity: the other side is somebody else than it has to be.
	ErrWrongIdentity = errors.New("identity: the certificate is somebody else's")
	// ErrPlain: the other side does not use TLS.
	ErrPlain = errors.New("identity: the connection is not protected by TLS")
)

// FromCertificate returns the identity that a certificate names. Error: ErrNoIdentity.
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
