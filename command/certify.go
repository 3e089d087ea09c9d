package command

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"hickorydrum/fault"
	"hickorydrum/peer"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	defaultValidity   = 90 * 24 * time.Hour
	dirPerm           = 0o700
)

// certifyCommand is the certify command, with its own flags.
type certifyCommand struct {
	*base
	dir      *string
	validity *time.Duration
}

// newCertify returns the command that issues the certificates of instances.
func newCertify(p printer) subcommands.Command {
	var dir string
	var validity time.Duration
	b := &base{
		printer: p, name: "certify", usage: "certify -dir DIR [-life TIME] NAME ...",
		synopsis: "make the certificates of the named instances, and the authority if there is none",
	}
	b.run = func(_ context.Context, args []string) error {
		return certify(b.printer, dir, validity, args, time.Now())
	}
	return &certifyCommand{base: b, dir: &dir, validity: &validity}
}

// SetFlags declares the flags of certify.
func (c *certifyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(c.dir, "dir", "", "directory that holds ca.pem and ca-key.pem and receives the certificates")
	f.DurationVar(c.validity, "life", defaultValidity, "how long the instances' certificates are valid")
}

// certify issues a certificate for each name and writes it and its private key to dir. It
// creates a certificate authority in dir if there is none.
func certify(p printer, dir string, validity time.Duration, names []string, now time.Time) error {
	if dir == "" || len(names) == 0 || validity <= 0 {
		return fault.New(fault.Invalid, "a directory, a life above 0 and the names of instances are needed",
			"call certify -dir keys ct-1-a ct-1-b")
	}
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return fault.New(fault.Unavailable, "the directory cannot be made", "check its permissions", fault.WithCause(err))
	}
	authority, err := loadAuthority(p, dir, now)
	if err != nil {
		return err
	}
	for _, name := range names {
		pair, err := authority.Certify(name, now, now.Add(validity))
		if err != nil {
			return err
		}
		if err := pair.WriteFiles(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")); err != nil {
			return err
		}
		p.printf("%s is certified until %s\n", name, now.Add(validity).Format(time.RFC3339))
	}
	return nil
}

// loadAuthority reads the certificate authority in dir, or creates one there.
func loadAuthority(p printer, dir string, now time.Time) (peer.KeyPair, error) {
	cert, key := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca-key.pem")
	if _, err := os.Stat(cert); err == nil {
		return peer.ReadKeyPair(cert, key)
	}
	pair, err := peer.NewAuthority("hickorydrum", now, now.Add(authorityValidity))
	if err != nil {
		return peer.KeyPair{}, err
	}
	p.printf("a new authority is in %s; keep ca-key.pem away from the instances\n", dir)
	return pair, pair.WriteFiles(cert, key)
}
