// Command hickorydrum runs an instance, and checks, plans and applies operators' declarations.
package main

import "hickorydrum/command"

func main() { command.Main() }
