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
	authorityLife = 10 * 365 * 24 * time.Hour
	defaultLife   = 90 * 24 * time.Hour
	dirPerm       = 0o700
)

// certifyCommand makes an authority, or the certificates of instances.
type certifyCommand struct {
	*base
	dir  *string
	life *time.Duration
}

func newCertify(p printer) subcommands.Command {
	var dir string
	var life time.Duration
	b := &base{
		printer: p, name: "certify", usage: "certify -dir DIR [-life TIME] NAME ...",
		synopsis: "make the certificates of the named instances, and the authority if there is none",
	}
	b.run = func(_ context.Context, args []string) error { return certify(b.printer, dir, life, args, time.Now()) }
	return &certifyCommand{base: b, dir: &dir, life: &life}
}

// SetFlags declares the flags of certify.
func (c *certifyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(c.dir, "dir", "", "directory that holds ca.pem and ca-key.pem and receives the certificates")
	f.DurationVar(c.life, "life", defaultLife, "how long the instances' certificates are valid")
}

func certify(p printer, dir string, life time.Duration, names []string, now time.Time) error {
	if dir == "" || len(names) == 0 || life <= 0 {
		return fault.New(fault.Invalid, "a directory, a life above 0 and the names of instances are needed",
			"call certify -dir keys ct-1-a ct-1-b")
	}
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return fault.New(fault.Unavailable, "the directory cannot be made", "check its permissions", fault.WithCause(err))
	}
	authority, err := authority(p, dir, now)
	if err != nil {
		return err
	}
	for _, name := range names {
		pair, err := authority.Certify(name, now, now.Add(life))
		if err != nil {
			return err
		}
		if err := pair.WriteFiles(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")); err != nil {
			return err
		}
		p.printf("%s is certified until %s\n", name, now.Add(life).Format(time.RFC3339))
	}
	return nil
}

func authority(p printer, dir string, now time.Time) (peer.KeyPair, error) {
	cert, key := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca-key.pem")
	if _, err := os.Stat(cert); err == nil {
		return peer.ReadKeyPair(cert, key)
	}
	pair, err := peer.NewAuthority("hickorydrum", now, now.Add(authorityLife))
	if err != nil {
		return peer.KeyPair{}, err
	}
	p.printf("a new authority is in %s; keep ca-key.pem away from the instances\n", dir)
	return pair, pair.WriteFiles(cert, key)
}
