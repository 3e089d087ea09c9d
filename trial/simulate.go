package trial

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"hickorydrum/fault"
	"hickorydrum/planner"
	"hickorydrum/simulation"
)

// The policies that a pattern can be played with.
const (
	policyHomes     = "homes"
	policyLeastBusy = "least-busy"
)

// simulateCommand plays a pattern of load against the planner in virtual time.
func simulateCommand(out io.Writer) *command {
	var name, policy string
	var seed uint64
	return &command{
		name: "simulate", synopsis: "play a pattern of load against the decisions of instances, in virtual time",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "pattern", "busy", "one of "+strings.Join(patternNames(), ", "))
			f.StringVar(&policy, "policy", policyHomes, "how upstreams are chosen: "+policyHomes+" or "+policyLeastBusy)
			f.Uint64Var(&seed, "seed", 1, "seed of the arrivals")
		},
		run: func(context.Context) error { return simulate(out, name, policy, seed) },
	}
}

func simulate(out io.Writer, name, policy string, seed uint64) error {
	p, ok := simulation.Find(name)
	if !ok {
		return fault.New(fault.Invalid, fmt.Sprintf("there is no pattern %q", name),
			"take one of "+strings.Join(patternNames(), ", "))
	}
	var opts []planner.Option
	switch policy {
	case policyHomes:
	case policyLeastBusy:
		opts = append(opts, planner.WithChoose(simulation.LeastBusy))
	default:
		return fault.New(fault.Invalid, fmt.Sprintf("there is no policy %q", policy),
			"take "+policyHomes+" or "+policyLeastBusy)
	}
	return simulation.Run(p, seed, opts...).Write(out)
}

func patternNames() []string {
	var out []string
	for _, p := range simulation.Patterns() {
		out = append(out, p.Name)
	}
	return out
}
