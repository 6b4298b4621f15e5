package grid

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logTimes records the times of the log lines that contain all words.
type logTimes struct {
	words []string
	mu    sync.Mutex
	at    []time.Time
}

// Write implements io.Writer.
func (m *logTimes) Write(b []byte) (int, error) {
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

// count returns the number of lines between two moments.
func (m *logTimes) count(from, to time.Time) (n int) {
	for _, at := range m.at {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Guards against a VM that uses a configuration that was replaced seconds ago, and neighbours that
// learn of the new one a second late. The store rejects the VM that reads for its failure domain
// and serves the others. It remained the reader, posted nothing, and received nothing of what the
// others read instead.
func TestReaderThatTheStoreTurnsAwayIsReplaced(t *testing.T) {
	for _, vm := range []int{0, 4} { // a domain's two VMs, one of which reads the store
		is := is.New(t)
		set := UserSetup(100)
		adopted := &logTimes{words: []string{"configuration in force", "version=2"}}
		set.Log = adopted
		var changed time.Time
		set.Faults = []Fault{
			{At: 4 * time.Second, Do: func(g *Grid) { g.RejectVM(g.VM(vm), true) }},
			{At: 8 * time.Second, Do: func(g *Grid) {
				changed = time.Now()
				g.Declare(2)
			}},
			{At: 12 * time.Second, Do: func(g *Grid) { g.RejectVM(g.VM(vm), false) }},
		}
		simulate(t, set)
		is.Equal(len(adopted.at), set.VMs)
		last := adopted.at[len(adopted.at)-1].Sub(changed)
		t.Logf("VM %d turned away: a change is in force everywhere after %s", vm, last)
		is.True(last <= time.Second) // two seconds are allowed; waiting for the reader takes one of them
	}
}
