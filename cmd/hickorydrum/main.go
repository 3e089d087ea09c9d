// Command hickorydrum runs an instance and applies the operators' files.
package main

import "hickorydrum/command"

func main() { command.Main() }
