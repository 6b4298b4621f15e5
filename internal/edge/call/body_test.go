package call

import (
	"testing"

	"dahliawinch/internal/task/job"
)

// FuzzDecode: whatever a caller sends is either a job with a body in each task or a
// refusal that says what to mend.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"class":"a","tasks":[{"body":1,"run":"5ms","need":{"cores":2}}],"deadline":"2s"}`,
		`{"tasks":[{"body":null}]}`, `{"tasks":null}`, `[]`, `{"tasks":[{"need":{"cores":-1},"body":1}]}`, `{"deadline":9}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		j, refusal := decode(text)
		if (j == nil) == (refusal == nil) {
			t.Fatal("neither a job nor a refusal, or both")
		}
		if refusal != nil {
			if refusal.Outcome != job.Refused || refusal.Detail == "" {
				t.Fatalf("refusal without a word: %+v", refusal)
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
