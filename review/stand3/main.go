// Command stand3 plays the cases of a review: it starts the daemons of a small deployment between stand-ins for the
// platform, and judges a rule by what clients and endpoints see.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// cases are the cases by name. Each returns what broke its rule.
var cases = map[string]func(g *rig) (broken []string, err error){
	"late":   playLate,
	"wait":   playWait,
	"unseen": playUnseen,
	"leave":  playLeave,
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// mostTime is how long a case may take.
const mostTime = 100 * time.Second

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return exitFailed
	}
	g, err := newRig(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer g.close()
	time.AfterFunc(mostTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		g.close()
		os.Exit(exitFailed)
	})
	if err := g.build(small); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := cases[args[0]](g)
	if err != nil {
		g.note("case failed: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken = slices.Concat(broken, g.crashed())
	for _, b := range broken {
		g.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	g.note("held")
	fmt.Println("held")
	return exitHeld
}
