package scene

import (
	"testing"
	"time"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/task/job"
)

// Guards against a task that starts twice, or is refused but starts, when messages between VMs (forwarded tasks,
// handed-over jobs and answers) come seconds late, and when their sender dies or is paused meanwhile.
func TestLateMessagesStartNoTaskTwice(t *testing.T) {
	const by = 3 * time.Second
	all := func(s *Scene, do func(v *VM)) {
		for n := range s.VMs {
			do(s.VM(n))
		}
	}
	cases := map[string][]Fault{
		"one VM's":                 {{6 * time.Second, func(s *Scene) { s.DelayMessages(s.VM(1), by) }}},
		"one VM's, from its start": {{0, func(s *Scene) { s.DelayMessages(s.VM(1), by) }}},
		"all":                      {{6 * time.Second, func(s *Scene) { all(s, func(v *VM) { s.DelayMessages(v, by) }) }}},
		"all, and in time again": {
			{6 * time.Second, func(s *Scene) { all(s, func(v *VM) { s.DelayMessages(v, by) }) }},
			{9 * time.Second, func(s *Scene) { all(s, func(v *VM) { s.DelayMessages(v, 0) }) }},
		},
		"of one that is lost and comes back": {
			{6 * time.Second, func(s *Scene) { s.DelayMessages(s.VM(1), by) }},
			{7 * time.Second, func(s *Scene) {
				v := s.VM(1)
				s.Kill(v)
				s.Boot(v.Mesh, v.Domain)
			}},
		},
		"of one that is paused": {
			{6 * time.Second, func(s *Scene) { s.DelayMessages(s.VM(1), by) }},
			{7 * time.Second, func(s *Scene) { s.Pause(s.VM(1), 2*time.Second) }},
		},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := ticketSetup(0.95)
			set.Faults = faults
			s := play(t, set)
			ends := map[job.Outcome]int{}
			for _, r := range s.results {
				ends[r.Answer.Outcome]++
			}
			t.Logf("%d forwarded or handed over; %v; %+v", s.Wasted(meter.Forward), ends, s.Judge.Verdict())
			if s.Wasted(meter.Forward) < 100 {
				t.Error("fewer than 100 forwarded: the test shows nothing")
			}
		})
	}
}
