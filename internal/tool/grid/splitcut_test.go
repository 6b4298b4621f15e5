package grid

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/edge/serve"
	"dahliawinch/internal/task/job"
)

// Guards against jobs that end as unknown because owners of their parts don't hear each other: only the VM that answers
// the caller talks to them.
func TestCutBetweenOwnersHarmsNoSplitJob(t *testing.T) {
	is := is.New(t)
	from, to := 5*time.Second, 8*time.Second
	set := UserSetup(100)
	set.Options = serve.Options{Split: true}
	set.Rate = burst(3, 4*time.Second, 9*time.Second, urgent, long, plain)
	set.Faults = []Fault{{At: from, Do: func(g *Grid) {
		g.Cut(domainName(0), domainName(1), true)
		g.Cut(domainName(1), domainName(0), true)
		time.Sleep(to - from)
		g.Cut(domainName(0), domainName(1), false)
		g.Cut(domainName(1), domainName(0), false)
	}}}
	var log bytes.Buffer
	set.Log = &log
	g := simulate(t, set)
	asked, unknown := 0, 0
	for r := range g.submitted(allKinds, from, to) {
		if r.Domain == domainName(0) || r.Domain == domainName(1) {
			continue // their jobs at owners of the other one end as unknown
		}
		asked++
		if r.Answer.Outcome == job.Unknown {
			unknown++
			t.Logf("%+v", r)
		}
	}
	split := bytes.Count(log.Bytes(), []byte(`msg="job split"`))
	t.Logf("%d jobs split, %d of %d unknown", split, unknown, asked)
	is.True(split > 200)
	is.Equal(unknown, 0)
}
