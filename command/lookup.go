package command

import (
	"context"
	"flag"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"hickorydrum/entry"
	"hickorydrum/fault"
)

// newLookup returns the command that sends a look-up to an instance.
func newLookup(p printer) subcommands.Command {
	c := &lookupCommand{base: &base{
		printer: p, name: "lookup", synopsis: "ask an instance which instances a caller should use",
		usage: "lookup -at ADDRESS [-address IP] [-service NAME]",
	}}
	c.run = c.lookup
	return c
}

// lookupCommand is the lookup command, with its own flags.
type lookupCommand struct {
	*base
	at      string // callers' address of any instance
	address string // of the caller; may be empty
	service string // may be empty
}

// SetFlags declares the flags of lookup.
func (c *lookupCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.at, "at", "", "callers' address of any instance")
	f.StringVar(&c.address, "address", "", "IP number of the caller, if not this machine")
	f.StringVar(&c.service, "service", "", "name of the service that the caller wants")
}

// lookup sends a look-up to the instance and prints the response.
func (c *lookupCommand) lookup(ctx context.Context, _ []string) error {
	if c.at == "" {
		return fault.New(fault.Invalid, "-at is missing", "name the callers' address of any instance")
	}
	query := url.Values{}
	if c.address != "" {
		query.Set("address", c.address)
	}
	if c.service != "" {
		query.Set("service", c.service)
	}
	var response entry.LookupResponse
	if err := getJSON(ctx, "http://"+c.at+entry.LookupPath+"?"+query.Encode(), &response); err != nil {
		return err
	}
	c.printf("region %s, revision %d, until %s\n", response.Region, response.Revision, response.Until.Format(time.RFC3339))
	for _, n := range response.Instances {
		c.printf("  %s (%s)\n", n.Address, n.Domain)
	}
	return nil
}
