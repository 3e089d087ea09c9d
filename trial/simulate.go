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

// The policies for choosing upstreams in a simulation.
const (
	policyHomes     = "homes"
	policyLeastBusy = "least-busy"
)

// simulateCommand returns the command that simulates a load pattern against the planner
// in virtual time.
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

// simulate runs the named pattern with the policy and seed and writes the report to
// out.
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

// patternNames returns the names of the load patterns.
func patternNames() []string {
	var out []string
	for _, p := range simulation.Patterns() {
		out = append(out, p.Name)
	}
	return out
}
