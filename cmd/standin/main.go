// Command standin runs test doubles of the platform, upstreams and network links, the load
// generator, and the commands that try, measure and simulate a deployment.
package main

import (
	"context"
	"os"

	"hickorydrum/trial"
)

func main() { os.Exit(trial.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
