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

// Guards against a second start of tasks whose job runs in parts: callers leave a VM, which does not notice, and submit
// their jobs again at another VM while several owners run them.
func TestSplitJobsSubmittedElsewhereRunOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	p := &departure{first: 0, second: 5, tasks: 48, options: serve.Options{Split: true}, log: &log}
	p.play(t)
	told := 0
	for _, a := range p.answers { // others find no room: each job needs more places than an owner has
		if a.Reason == job.StillRuns {
			told++
			is.True(a.Outcome == job.Unknown && a.took <= answerWithin && a.Retry > 0)
		}
	}
	split := bytes.Count(log.Bytes(), []byte(`msg="job split" vm=127.20.0.1:`))
	ended := bytes.Count(log.Bytes(), []byte(`msg="split job submitted elsewhere"`)) + bytes.Count(log.Bytes(), []byte(`msg="job may run in parts"`))
	t.Logf("%d jobs split at the first VM, %d ended by their resubmission, %d told to come back", split, ended, told)
	is.True(ended > 0 && told > 0)
}
