// Command rig plays one case of this review against daemons that run as separate processes: it is
// their store, their workers and their clients, records what these see, and judges it.
//
// Its exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	f     *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// play is a case: it plays the disruption if trouble is set, and returns the breaks of the rule.
type play func(s *site, trouble bool) (breaks []string, err error)

var plays = map[string]play{"dropped": playDropped, "reborn": playReborn, "freeze": playFreeze, "gang-numbers": playGangNumbers, "gang-conns": playGangConns}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(start()) }

func start() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer f.Close() //nolint:errcheck // the lines were written one by one
	rec := &record{began: time.Now(), f: f}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", os.Args[1], trouble)
	s, err := newSite(rec)
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer s.close()
	go func() { // no daemon outlives an interrupted play
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
		<-ended
		s.close()
		os.Exit(exitNotRun)
	}()
	breaks, err := plays[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	case len(breaks) > 0:
		for _, b := range breaks {
			rec.add("broken: %s", b)
		}
		fmt.Printf("broken, %d times; first: %s\n", len(breaks), breaks[0])
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
