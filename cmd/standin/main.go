// Command standin runs the stand-ins, the load tool and the try command.
package main

import (
	"context"
	"os"

	"hickorydrum/trial"
)

func main() { os.Exit(trial.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
