// Command driver plays the review's cases: it starts daemons as separate processes, stand-ins of the platform's store
// and of the workers, and clients. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// scenario is one case: it plays its part on a running deployment and returns what broke the rule.
type scenario struct {
	config deployConfig
	play   func(d *deployment, trouble bool) (broken []string, err error)
}

var scenarios = map[string]scenario{
	"gang":   {gangConfig, playGang},
	"cancel": {cancelConfig, playCancel},
	"kind":   {kindConfig, playKind},
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case named by the first argument and writes its record to the folder named by the second.
func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		return exitUnable
	}
	s, trouble := scenarios[args[0]], os.Getenv("TROUBLE") != "0"
	rec := newRecord()
	broken, err := playScenario(s, rec, trouble)
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
	}
	rec.add("trouble=%v broken=%d err=%v", trouble, len(broken), err)
	if werr := rec.write(filepath.Join(args[1], "record.txt")); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return exitUnable
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "driver:", err)
		return exitUnable
	case len(broken) > 0:
		fmt.Printf("rule broken %d times; first: %s\n", len(broken), broken[0])
		return exitBroken
	default:
		fmt.Println("rule held")
		return exitHeld
	}
}

func playScenario(s scenario, rec *record, trouble bool) (broken []string, err error) {
	d, err := startDeployment(s.config, rec)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	return s.play(d, trouble)
}
