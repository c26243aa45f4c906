package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"egretramp/internal/identity"
)

// File names in a certificate authority's folder.
const (
	authorityCertificate = "authority.crt"
	authorityKey         = "authority.key"
)

const (
	maxCertificateDays = 825
	hoursPerDay        = 24
)

// identityName matches valid names of VMs and operators in certificates.
var identityName = regexp.MustCompile(`^[a-z0-9._-]{1,64}$`)

// makeAuthorityCommand creates a certificate authority.
type makeAuthorityCommand struct {
	tool *tool
	Name string `long:"name" value-name:"NAME" default:"egretramp" description:"what the authority is called"`
	Args struct {
		Folder string `positional-arg-name:"FOLDER" description:"where authority.crt and authority.key are written"`
	} `positional-args:"yes" required:"yes"`
}

// certificateOutput is the JSON output of make-authority and make-certificate.
type certificateOutput struct {
	Identity    string    `json:"identity,omitempty"`
	Certificate string    `json:"certificate"`
	Key         string    `json:"key"`
	Expires     time.Time `json:"expires"`
}

// Execute implements flags.Commander.
func (c *makeAuthorityCommand) Execute([]string) error {
	now := time.Now()
	_, issued, err := identity.NewAuthority(c.Name, now)
	if err != nil {
		return err
	}
	return c.tool.writeCertificate(issued, certificateOutput{
		Certificate: filepath.Join(c.Args.Folder, authorityCertificate),
		Key:         filepath.Join(c.Args.Folder, authorityKey),
		Expires:     now.Add(identity.AuthorityLifetime),
	})
}

// makeCertificateCommand issues a certificate for a VM or an operator.
type makeCertificateCommand struct {
	tool     *tool
	Folder   string `long:"authority" value-name:"FOLDER" required:"yes" description:"folder of authority.crt and authority.key"`
	VM       string `long:"vm" value-name:"NAME" description:"issue it for this VM"`
	Operator string `long:"operator" value-name:"NAME" description:"issue it for this operator"`
	Days     int    `long:"days" value-name:"DAYS" default:"90" description:"how long it is valid, 1 to 825"`
	Args     struct {
		Folder string `positional-arg-name:"FOLDER" description:"where NAME.crt and NAME.key are written"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *makeCertificateCommand) Execute([]string) error {
	id, err := c.identity()
	if err != nil {
		return err
	}
	authority, err := readAuthority(c.Folder)
	if err != nil {
		return err
	}
	now, lifetime := time.Now(), time.Duration(c.Days)*hoursPerDay*time.Hour
	issued, err := authority.Issue(id, now, lifetime)
	if err != nil {
		return err
	}
	return c.tool.writeCertificate(issued, certificateOutput{
		Identity:    id.String(),
		Certificate: filepath.Join(c.Args.Folder, id.Name+".crt"),
		Key:         filepath.Join(c.Args.Folder, id.Name+".key"),
		Expires:     now.Add(lifetime),
	})
}

func (c *makeCertificateCommand) identity() (identity.Identity, error) {
	id := identity.Identity{Role: identity.VM, Name: c.VM}
	if c.Operator != "" {
		id = identity.Identity{Role: identity.Operator, Name: c.Operator}
	}
	switch {
	case (c.VM == "") == (c.Operator == ""):
		return id, &usageError{"name either a VM with --vm or an operator with --operator"}
	case !identityName.MatchString(id.Name):
		return id, &usageError{fmt.Sprintf("%q is no name: 1 to 64 characters of a-z, 0-9, '.', '_' and '-'", id.Name)}
	case c.Days < 1 || c.Days > maxCertificateDays:
		return id, &usageError{fmt.Sprintf("--days is a number from 1 to %d", maxCertificateDays)}
	}
	return id, nil
}

func readAuthority(folder string) (*identity.Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(folder, authorityCertificate))
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	key, err := os.ReadFile(filepath.Join(folder, authorityKey))
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return identity.ReadAuthority(identity.Issued{Certificate: certificate, Key: key})
}

// writeCertificate writes the certificate and its key to files and prints their names.
func (t *tool) writeCertificate(issued identity.Issued, w certificateOutput) error {
	if err := issued.Write(w.Certificate, w.Key); err != nil {
		return err
	}
	if t.JSON {
		return t.printJSON(w)
	}
	fmt.Fprintf(t.Out, "wrote %s and %s, valid until %s\n", w.Certificate, w.Key, w.Expires.UTC().Format(time.DateOnly))
	return nil
}
