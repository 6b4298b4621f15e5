package judge

import (
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
)

func result(name string, task string) []byte {
	return []byte(`{"job":"` + name + `","task":` + task + `}`)
}

// Each case but "valid" and "no answer" violates a guarantee, which the judge must detect.
func TestEveryViolationIsDetected(t *testing.T) {
	cases := map[string]struct {
		play func(*Judge)
		want Tally
	}{
		"valid": {func(j *Judge) {
			j.Started("a", 0)
			j.Started("a", 1)
			j.Answer("a", &job.Answer{Outcome: job.Done, Results: [][]byte{result("a", "0"), result("a", "1")}})
		}, Tally{Jobs: 1, Tasks: 2, Done: 1}},
		"task started twice": {func(j *Judge) {
			j.Started("a", 0)
			j.Started("a", 0)
			j.Answer("a", &job.Answer{Outcome: job.Failed})
		}, Tally{Jobs: 1, Tasks: 2, Failed: 1, Twice: 1}},
		"refused but started": {func(j *Judge) {
			j.Answer("a", &job.Answer{Outcome: job.Refused})
			j.Started("a", 1) // later than the answer
		}, Tally{Jobs: 1, Tasks: 2, Refused: 1, FalseRefusals: 1}},
		"result of another job": {func(j *Judge) {
			j.Answer("a", &job.Answer{Outcome: job.Done, Results: [][]byte{result("a", "0"), result("b", "1")}})
		}, Tally{Jobs: 1, Tasks: 2, Done: 1, Crossed: 1}},
		"results in wrong order": {func(j *Judge) {
			j.Answer("a", &job.Answer{Outcome: job.Done, Results: [][]byte{result("a", "1"), result("a", "0")}})
		}, Tally{Jobs: 1, Tasks: 2, Done: 1, Crossed: 1}},
		"partial": {func(j *Judge) {
			j.Answer("a", &job.Answer{Outcome: job.Done, Results: [][]byte{result("a", "0")}})
		}, Tally{Jobs: 1, Tasks: 2, Done: 1, Partial: 1}},
		"results with a failure": {func(j *Judge) {
			j.Answer("a", &job.Answer{Outcome: job.Failed, Results: [][]byte{result("a", "0")}})
		}, Tally{Jobs: 1, Tasks: 2, Failed: 1, Partial: 1}},
		"no answer": {func(*Judge) {}, Tally{Jobs: 1, Tasks: 2, Unknown: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := New()
			j.Submit("a", 2)
			c.play(j)
			is.Equal(j.Verdict(), c.want)
			is.Equal(len(j.Violations()) > 0, c.want.Broken() > 0)
		})
	}
}
