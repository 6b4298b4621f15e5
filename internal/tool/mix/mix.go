// Package mix describes a load: classes, job sizes, run times and arrival times
// of jobs.
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

// Mix lists the kinds of jobs in a load; it can be read from a JSON file.
type Mix struct {
	Kinds []Kind `json:"kinds"`
}

// Kind describes jobs of one kind.
type Kind struct {
	Name          string     `json:"name"`
	Tenant        string     `json:"tenant"`
	Key           string     `json:"key,omitempty"` // API key of the caller, where one is needed
	Class         string     `json:"class"`
	Share         float64    `json:"share"` // weight among the kinds of jobs
	Least         int        `json:"least"` // tasks of a job, log-uniform from Least to Most
	Most          int        `json:"most"`
	Run           valid.Span `json:"run"`            // median run time, log-normal
	Sigma         float64    `json:"sigma"`          // standard deviation of its logarithm
	Tail          float64    `json:"tail,omitempty"` // fraction of tasks that run from Long to Longer
	Long          valid.Span `json:"long,omitempty"`
	Longer        valid.Span `json:"longer,omitempty"`
	DeclaredRatio float64    `json:"told,omitempty"`   // declared run time / median; 0: none declared
	Fail          float64    `json:"fail,omitempty"`   // fraction of tasks that fail
	Need          job.Size   `json:"need,omitempty"`   // resources of each task
	Ticket        bool       `json:"ticket,omitempty"` // submitted with a ticket
}

// Default returns the standard mix: log-normal run times with a median of 200 ms,
// one task in twenty of 2 to 5 s, jobs of 1 to 64 tasks.
func Default() Mix {
	kind := func(name, tenant, class string, share float64, most int) Kind {
		return Kind{
			Name: name, Tenant: tenant, Class: class, Share: share, Least: 1, Most: most,
			Run: valid.Span(200 * time.Millisecond), Sigma: 0.5,
			Tail: 0.05, Long: valid.Span(2 * time.Second), Longer: valid.Span(5 * time.Second),
		}
	}
	return Mix{Kinds: []Kind{
		kind("setup", "relief", "setup", 0.25, 4),
		kind("render", "crew", "render", 0.4, 64),
		kind("proof", "imprint", "render", 0.25, 64),
		kind("night", "imprint", "night", 0.1, 64),
	}}
}

// Document returns the configuration that Default needs.
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
		Limits:  doc.Limits{Tasks: doc.MaxTasks, Bytes: 4 << 20, Deadline: valid.Span(2 * time.Minute)},
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
	if err := valid.DecodeStrict(text, &m); err != nil {
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
		ps = append(ps, valid.Problem{Field: "kinds", Wrong: "is empty", Fix: "describe at least one kind of job"})
	}
	for i, k := range m.Kinds {
		prefix := fmt.Sprintf("kinds[%d].", i)
		require := func(ok bool, field, wrong, mend string) {
			if !ok {
				ps = append(ps, valid.Problem{Field: prefix + field, Wrong: wrong, Fix: mend})
			}
		}
		require(k.Share > 0, "share", fmt.Sprint(k.Share), "use more than 0")
		require(k.Least >= 1 && k.Least <= k.Most, "least", fmt.Sprint(k.Least), "use 1 to most")
		require(k.Run > 0, "run", k.Run.Std().String(), "use a positive duration")
		require(k.Sigma >= 0 && k.Sigma <= 3, "sigma", fmt.Sprint(k.Sigma), "use 0 to 3")
		require(k.Tail >= 0 && k.Tail <= 1, "tail", fmt.Sprint(k.Tail), "use a fraction from 0 to 1")
		require(k.Long <= k.Longer, "long", k.Long.Std().String(), "use at most longer")
	}
	return ps
}

// MeanRun returns the mean run time of the kind's tasks.
func (k Kind) MeanRun() time.Duration {
	usual := k.Run.Std().Seconds() * math.Exp(k.Sigma*k.Sigma/2)
	long := (k.Long.Std().Seconds() + k.Longer.Std().Seconds()) / 2
	return time.Duration(((1-k.Tail)*usual + k.Tail*long) * float64(time.Second))
}

// MeanTasks returns the mean number of tasks of the kind's jobs.
func (k Kind) MeanTasks() float64 {
	if k.Least == k.Most {
		return float64(k.Least)
	}
	var sum float64
	for n := k.Least; n <= k.Most; n++ {
		sum += float64(n) * k.probability(n)
	}
	return sum
}

// probability returns the probability that a job has n tasks.
func (k Kind) probability(n int) float64 {
	lo, hi := float64(k.Least), float64(k.Most+1)
	return (math.Log(float64(n+1)) - math.Log(float64(n))) / (math.Log(hi) - math.Log(lo))
}

// MeanWork returns the mean total run time of a job's tasks.
func (m Mix) MeanWork() time.Duration {
	var sum, shares float64
	for _, k := range m.Kinds {
		sum += k.Share * k.MeanTasks() * k.MeanRun().Seconds()
		shares += k.Share
	}
	return time.Duration(sum / shares * float64(time.Second))
}

// Job is a generated job and the run times of its tasks.
type Job struct {
	Kind *Kind
	Name string
	Runs []time.Duration
	Req  job.Request
}

// Longest returns the run time of the job's longest task.
func (j *Job) Longest() (d time.Duration) {
	for _, r := range j.Runs {
		d = max(d, r)
	}
	return d
}

// Draw returns a random job of the mix.
func (m Mix) Draw(r *rand.Rand, name string) *Job {
	k := m.randomKind(r)
	n := k.Least
	if k.Most > k.Least {
		lo, hi := math.Log(float64(k.Least)), math.Log(float64(k.Most+1))
		n = min(k.Most, int(math.Exp(lo+r.Float64()*(hi-lo))))
	}
	j := &Job{Kind: k, Name: name, Req: job.Request{Tenant: k.Tenant, Class: k.Class, Kind: k.Name}}
	for i := range n {
		run := k.randomRun(r)
		j.Runs = append(j.Runs, run)
		t := fakes.Task{Job: name, Task: i, Run: valid.Span(run), Fail: r.Float64() < k.Fail}
		j.Req.Tasks = append(j.Req.Tasks, job.Task{
			Need: k.Need, Run: time.Duration(k.DeclaredRatio * float64(k.Run)), Body: t.Encode(),
		})
	}
	return j
}

func (m Mix) randomKind(r *rand.Rand) *Kind {
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

func (k *Kind) randomRun(r *rand.Rand) time.Duration {
	if r.Float64() < k.Tail {
		return k.Long.Std() + time.Duration(r.Float64()*float64(k.Longer-k.Long))
	}
	return time.Duration(float64(k.Run) * math.Exp(k.Sigma*r.NormFloat64()))
}

// Gap returns a random time between two arrivals of a Poisson process.
func Gap(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// MarshalIndent encodes the mix as indented JSON, as Load reads it.
func (m Mix) MarshalIndent() ([]byte, error) {
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode mix: %w", err)
	}
	return text, nil
}
