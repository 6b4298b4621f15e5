package call

import (
	"testing"

	"dahliawinch/internal/task/job"
)

// FuzzDecode checks that any input decodes either to a job with a body in each task or
// to a refusal that says what to correct.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"class":"a","tasks":[{"body":1,"run":"5ms","need":{"cores":2}}],"deadline":"2s"}`,
		`{"tasks":[{"body":null}]}`, `{"tasks":null}`, `[]`, `{"tasks":[{"need":{"cores":-1},"body":1}]}`, `{"deadline":9}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		j, refusal := decodeJob(text)
		if (j == nil) == (refusal == nil) {
			t.Fatal("want either a job or a refusal")
		}
		if refusal != nil {
			if refusal.Outcome != job.Refused || refusal.Detail == "" {
				t.Fatalf("refusal without a detail: %+v", refusal)
			}
			return
		}
		for i, task := range j.request("t").Tasks {
			if len(task.Body) == 0 || task.Run < 0 {
				t.Fatalf("task %d: %+v", i, task)
			}
		}
	})
}
