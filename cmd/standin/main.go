// Command standin runs the stand-ins, the load tool and the try command.
package main

import (
	"context"
	"os"

	"hickorydrum/standin"
)

func main() { os.Exit(standin.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
