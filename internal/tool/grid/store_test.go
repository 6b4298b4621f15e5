package grid

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// moments notes when lines of a log came that have some words.
type moments struct {
	words []string
	mu    sync.Mutex
	at    []time.Time
}

// Write implements io.Writer.
func (m *moments) Write(b []byte) (int, error) {
	for _, w := range m.words {
		if !strings.Contains(string(b), w) {
			return len(b), nil
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = append(m.at, time.Now())
	return len(b), nil
}

// within counts the lines between two moments.
func (m *moments) within(from, to time.Time) (n int) {
	for _, at := range m.at {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Symptom: one VM acts on a configuration that was replaced seconds ago, and its neighbours hear
// of the new one a second late. Sequence: the store turns the VM away that reads for its failure
// domain, and serves the others. Cause: it remains the reader, posts nothing, and hears none of
// what the others read in its place.
func TestReaderThatTheStoreTurnsAwayIsReplaced(t *testing.T) {
	for _, vm := range []int{0, 4} { // both of a domain: one of them reads
		is := is.New(t)
		set := Users(100)
		heard := &moments{words: []string{"configuration in force", "version=2"}}
		set.Log = heard
		var changed time.Time
		set.Faults = []Fault{
			{At: 4 * time.Second, Do: func(g *Grid) { g.Turn(g.VM(vm), true) }},
			{At: 8 * time.Second, Do: func(g *Grid) {
				changed = time.Now()
				g.Declare(2)
			}},
			{At: 12 * time.Second, Do: func(g *Grid) { g.Turn(g.VM(vm), false) }},
		}
		play(t, set)
		is.Equal(len(heard.at), set.VMs)
		last := heard.at[len(heard.at)-1].Sub(changed)
		t.Logf("VM %d turned away: a change is in force everywhere after %s", vm, last)
		is.True(last <= time.Second) // two seconds are given, and a second of patience is in it
	}
}
