// Command rig3 plays the cases of the third review: it starts the program of the deploy file on loopback beside small
// stand-ins of the store, the workers and the clients, and checks one rule by what these see.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases has the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(g *rig, trouble bool) (brokenRule bool, err error){
	"era":  playEra,
	"keys": playKeys,
	"slow": playSlow,
}

func main() { os.Exit(play()) }

// play plays the case that the first argument names and writes the record into the folder of the second.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return failed
	}
	g, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer g.close()
	brokenRule, err := cases[os.Args[1]](g, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		g.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return failed
	case brokenRule:
		g.note("the rule is broken")
		fmt.Println("the rule is broken; see record.txt")
		return broken
	}
	g.note("the rule is held")
	fmt.Println("the rule is held; see record.txt")
	return held
}
