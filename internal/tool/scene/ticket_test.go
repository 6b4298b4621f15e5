package scene

import (
	"testing"
	"time"

	"dahliawinch/internal/task/job"
)

// ticketSetup returns a setup in which 0.4/1.4 = 29 % of the jobs are not idempotent and
// need tickets.
func ticketSetup(load float64) Setup {
	set := DefaultSetup(load)
	k := set.Mix.Kinds[0]
	k.Name, k.Class, k.Ticket, k.Share = "topup", "topup", true, 0.4
	set.Mix.Kinds = append(set.Mix.Kinds, k)
	return set
}

// Guards against a job with a ticket that runs twice: its caller sends it to two VMs at
// once, and again while the outcome is unknown, while VMs die, are paused, partitioned,
// replaced and booted again. Each of two VMs, or of two incarnations of one, takes the
// copy of the submission that it receives for the first.
func TestTicketedWorkRunsAtMostOnce(t *testing.T) {
	cases := map[string][]Fault{
		"no fault": nil,
		"vm dies and comes back": {{6 * time.Second, func(s *Scene) {
			v := s.VM(1)
			s.Kill(v)
			s.Boot(v.Mesh, v.Domain)
		}}},
		"vm paused": {{6 * time.Second, func(s *Scene) { s.Pause(s.VM(1), 5*time.Second) }}},
		"partition": {
			{6 * time.Second, func(s *Scene) { s.Cut(0, 1, true); s.Cut(2, 3, true) }},
			{12 * time.Second, func(s *Scene) { s.Cut(0, 1, false); s.Cut(2, 3, false) }},
		},
		"vm leaves": {{6 * time.Second, func(s *Scene) {
			if err := s.Replace(s.VM(1)); err != nil {
				s.Judge.Answer("replace", &job.Answer{Outcome: job.Done})
			}
		}}},
		"all at once": {
			{6 * time.Second, func(s *Scene) { s.Pause(s.VM(2), 5*time.Second) }},
			{6 * time.Second, func(s *Scene) { s.Cut(0, 3, true) }},
			{7 * time.Second, func(s *Scene) { s.Kill(s.VM(5)) }},
			{9 * time.Second, func(s *Scene) { s.Endpoint(3).Die() }},
			{11 * time.Second, func(s *Scene) { s.Cut(0, 3, false) }},
		},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := ticketSetup(0.6)
			set.Faults = faults
			s := play(t, set)
			n, done := 0, 0
			for _, r := range s.results {
				if r.Job.Kind.Ticket {
					n++
					if r.Answer.Outcome == job.Done {
						done++
					}
				}
			}
			t.Logf("%d top-ups, %d done; %+v", n, done, s.Judge.Verdict())
			if n < 200 || float64(done) < 0.9*float64(n) {
				t.Errorf("only %d of %d top-ups done", done, n)
			}
		})
	}
}

// Guards against requests lost whenever a VM is replaced: all eight VMs are replaced one
// by one under 70 % load, and a draining VM drops jobs in progress, or refuses those
// that the load balancer still sends.
func TestRollingReplacementLosesNoJob(t *testing.T) {
	t.Parallel()
	const bound = 1.3
	set := ticketSetup(0.7)
	set.Span = 70 * time.Second
	var failed error
	set.Faults = []Fault{{6 * time.Second, func(s *Scene) {
		for n := range s.VMs {
			if err := s.Replace(s.VM(n)); err != nil {
				failed = err
			}
		}
	}}}
	s := play(t, set)
	if failed != nil {
		t.Error(failed)
	}
	bad := map[job.Reason]int{}
	for _, r := range s.results {
		if r.Answer.Outcome != job.Done {
			bad[r.Answer.Reason]++
			if r.Answer.Outcome != job.Unknown || r.Answer.Reason != job.GoneTicket {
				t.Logf("%s %s %s: %s", r.Job.Kind.Name, r.Answer.Outcome, r.Answer.Reason, r.Answer.Detail)
			}
		}
	}
	m := mean(ratios(s.Results()))
	t.Logf("ratio %.3f; not done %v; %+v", m, bad, s.Judge.Verdict())
	if m > bound {
		t.Errorf("mean ratio %.3f", m)
	}
	if len(bad) > 0 {
		t.Errorf("jobs were lost: %v", bad)
	}
}
