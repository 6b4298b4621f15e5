// Package mix describes a load: which classes, job sizes and run times, and how
// jobs arrive.
package mix

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
)

// Mix is a load by kinds of jobs, read from a JSON file.
type Mix struct {
	Kinds []Kind `json:"kinds"`
}

// Kind is one sort of job.
type Kind struct {
	Name   string     `json:"name"`
	Tenant string     `json:"tenant"`
	Key    string     `json:"key,omitempty"` // caller key, where one is needed
	Class  string     `json:"class"`
	Share  float64    `json:"share"` // of the jobs
	Least  int        `json:"least"` // tasks, log-uniform from least to most
	Most   int        `json:"most"`
	Run    valid.Span `json:"run"`            // median run time, log-normal
	Sigma  float64    `json:"sigma"`          // of its logarithm
	Tail   float64    `json:"tail,omitempty"` // part of tasks that take from Long to Longer
	Long   valid.Span `json:"long,omitempty"`
	Longer valid.Span `json:"longer,omitempty"`
	Told   float64    `json:"told,omitempty"`   // declared run time over the median; 0 declares none
	Fail   float64    `json:"fail,omitempty"`   // part of tasks that fail by themselves
	Need   job.Size   `json:"need,omitempty"`   // of each task
	Ticket bool       `json:"ticket,omitempty"` // sent under a ticket
}

// Paper is the mix of the brief's sizes: run times log-normal about 200 ms, one
// in twenty of 2 to 5 s, jobs of 1 to 64.
func Paper() Mix {
	k := func(name, tenant, class string, share float64, most int) Kind {
		return Kind{
			Name: name, Tenant: tenant, Class: class, Share: share, Least: 1, Most: most,
			Run: valid.Span(200 * time.Millisecond), Sigma: 0.5,
			Tail: 0.05, Long: valid.Span(2 * time.Second), Longer: valid.Span(5 * time.Second),
		}
	}
	return Mix{Kinds: []Kind{
		k("setup", "relief", "setup", 0.25, 4),
		k("render", "crew", "render", 0.4, 64),
		k("proof", "imprint", "render", 0.25, 64),
		k("night", "imprint", "night", 0.1, 64),
	}}
}

// Document declares what Paper needs.
func Document() *doc.Document {
	return &doc.Document{
		Service: "mixed",
		Classes: map[string]doc.Class{
			"setup":  {Band: job.Urgent, Deadline: valid.Span(12 * time.Second)},
			"render": {Band: job.Routine, Deadline: valid.Span(20 * time.Second)},
			"night":  {Band: job.Bulk, Deadline: valid.Span(60 * time.Second)},
			"topup":  {Band: job.Urgent, Deadline: valid.Span(12 * time.Second), Once: true, Hold: valid.Span(time.Minute)},
		},
		Tenants: map[string]doc.Tenant{
			"relief":  {Weight: 2, Keys: []string{doc.Hash("demo-relief")}},
			"crew":    {Weight: 1, Keys: []string{doc.Hash("demo-crew")}},
			"imprint": {Weight: 1, Keys: []string{doc.Hash("demo-imprint")}},
		},
		Limits:  doc.Limits{Tasks: doc.MostTasks, Bytes: 4 << 20, Deadline: valid.Span(2 * time.Minute)},
		Reserve: 0.08, Patience: valid.Span(200 * time.Millisecond),
	}
}

// Load reads a mix from a file.
func Load(path string) (Mix, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, fmt.Errorf("read mix: %w", err)
	}
	var m Mix
	if err := valid.Strict(text, &m); err != nil {
		return Mix{}, &valid.Error{Problems: []valid.Problem{valid.JSONProblem("mix", err)}}
	}
	if ps := m.Check(); len(ps) > 0 {
		return Mix{}, &valid.Error{Problems: ps}
	}
	return m, nil
}

// Check returns every problem of the mix.
func (m Mix) Check() (ps []valid.Problem) {
	if len(m.Kinds) == 0 {
		ps = append(ps, valid.Problem{Field: "kinds", Wrong: "is empty", Mend: "describe at least one kind of job"})
	}
	for i, k := range m.Kinds {
		at := fmt.Sprintf("kinds[%d].", i)
		bad := func(ok bool, field, wrong, mend string) {
			if !ok {
				ps = append(ps, valid.Problem{Field: at + field, Wrong: wrong, Mend: mend})
			}
		}
		bad(k.Share > 0, "share", fmt.Sprint(k.Share), "use more than 0")
		bad(k.Least >= 1 && k.Least <= k.Most, "least", fmt.Sprint(k.Least), "use 1 to most")
		bad(k.Run > 0, "run", k.Run.Std().String(), "use a positive duration")
		bad(k.Sigma >= 0 && k.Sigma <= 3, "sigma", fmt.Sprint(k.Sigma), "use 0 to 3")
		bad(k.Tail >= 0 && k.Tail <= 1, "tail", fmt.Sprint(k.Tail), "use a part from 0 to 1")
		bad(k.Long <= k.Longer, "long", k.Long.Std().String(), "use at most longer")
	}
	return ps
}

// MeanRun is the mean run time of the kind's tasks.
func (k Kind) MeanRun() time.Duration {
	usual := k.Run.Std().Seconds() * math.Exp(k.Sigma*k.Sigma/2)
	long := (k.Long.Std().Seconds() + k.Longer.Std().Seconds()) / 2
	return time.Duration(((1-k.Tail)*usual + k.Tail*long) * float64(time.Second))
}

// MeanTasks is the mean size of the kind's jobs.
func (k Kind) MeanTasks() float64 {
	if k.Least == k.Most {
		return float64(k.Least)
	}
	var sum float64
	for n := k.Least; n <= k.Most; n++ {
		sum += float64(n) * k.chance(n)
	}
	return sum
}

func (k Kind) chance(n int) float64 {
	lo, hi := float64(k.Least), float64(k.Most+1)
	return (math.Log(float64(n+1)) - math.Log(float64(n))) / (math.Log(hi) - math.Log(lo))
}

// Work is the mean slot time of a job of the mix.
func (m Mix) Work() time.Duration {
	var sum, shares float64
	for _, k := range m.Kinds {
		sum += k.Share * k.MeanTasks() * k.MeanRun().Seconds()
		shares += k.Share
	}
	return time.Duration(sum / shares * float64(time.Second))
}

// Job is one job of the load.
type Job struct {
	Kind *Kind
	Name string
	Runs []time.Duration
	Req  job.Request
}

// Longest is the run time of the job's longest task.
func (j *Job) Longest() (d time.Duration) {
	for _, r := range j.Runs {
		d = max(d, r)
	}
	return d
}

// Draw makes the next job.
func (m Mix) Draw(r *rand.Rand, name string) *Job {
	k := m.pick(r)
	n := k.Least
	if k.Most > k.Least {
		lo, hi := math.Log(float64(k.Least)), math.Log(float64(k.Most+1))
		n = min(k.Most, int(math.Exp(lo+r.Float64()*(hi-lo))))
	}
	j := &Job{Kind: k, Name: name, Req: job.Request{Tenant: k.Tenant, Class: k.Class, Kind: k.Name}}
	for i := range n {
		run := k.draw(r)
		j.Runs = append(j.Runs, run)
		t := fakes.Task{Job: name, Task: i, Run: valid.Span(run), Fail: r.Float64() < k.Fail}
		j.Req.Tasks = append(j.Req.Tasks, job.Task{
			Need: k.Need, Run: time.Duration(k.Told * float64(k.Run)), Body: t.Encode(),
		})
	}
	return j
}

func (m Mix) pick(r *rand.Rand) *Kind {
	var shares float64
	for _, k := range m.Kinds {
		shares += k.Share
	}
	x := r.Float64() * shares
	for i := range m.Kinds {
		if x -= m.Kinds[i].Share; x < 0 {
			return &m.Kinds[i]
		}
	}
	return &m.Kinds[len(m.Kinds)-1]
}

func (k *Kind) draw(r *rand.Rand) time.Duration {
	if r.Float64() < k.Tail {
		return k.Long.Std() + time.Duration(r.Float64()*float64(k.Longer-k.Long))
	}
	return time.Duration(float64(k.Run) * math.Exp(k.Sigma*r.NormFloat64()))
}

// Gap is the time to the next arrival of a Poisson stream.
func Gap(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// MarshalIndent writes the mix as a file.
func (m Mix) MarshalIndent() ([]byte, error) {
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode mix: %w", err)
	}
	return text, nil
}
