package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/tool/judge"
	"dahliawinch/internal/tool/load"
	"dahliawinch/internal/tool/mix"
	"dahliawinch/winch"
)

// start starts a small deployment over real sockets.
func start(t *testing.T, j *judge.Judge) *Deployment {
	t.Helper()
	return startWith(t, j, func(*Shape) {})
}

// startWith is start with a changed shape.
func startWith(t *testing.T, j *judge.Judge, change func(*Shape)) *Deployment {
	t.Helper()
	shape := DefaultShape()
	shape.Domains, shape.VMs, shape.Endpoints = 2, 4, 6
	change(&shape)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	d, err := Start(context.Background(), shape, j, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	})
	if err := d.Declare(ctx, mix.Document()); err != nil {
		t.Fatal(err)
	}
	return d
}

// shortJob returns a job of one task of 5 ms.
func shortJob(deadline time.Duration) winch.Job {
	return winch.Job{Class: "render", Deadline: deadline, Tasks: []winch.Task{{Body: map[string]any{"job": "page", "task": 0, "run": "5ms"}}}}
}

// restart kills a deployment's n-th VM and boots it again while the platform's list answers slowly.
func restart(t *testing.T, d *Deployment, n int, slow time.Duration) *VM {
	t.Helper()
	old := d.VMs[n]
	old.Kill()
	<-old.Done()
	d.List.Slow(slow)
	t.Cleanup(func() { d.List.Slow(0) })
	v, err := d.Boot(old.Settings.Mesh, old.Settings.Domain)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a first job that is refused with "no endpoint is known", as seen on a busy machine:
// Declare must not return before the VMs have read the platform's list.
func TestDeclaredDeploymentKnowsItsEndpoints(t *testing.T) {
	is := is.New(t)
	d := startWith(t, judge.New(), func(s *Shape) { s.Domains, s.VMs, s.ListDelay = 1, 1, time.Second })
	c := winch.NewClient(d.VMs[0].Settings.Caller, "demo-crew")
	a, err := c.Submit(t.Context(), shortJob(5*time.Second))
	is.NoErr(err)
	is.Equal(a.Detail, "")
	is.Equal(a.Outcome, winch.Done)
}

// Guards against callers that are refused with "no endpoint is known" by a VM that is restarted while
// the platform's list answers slowly, although its peer knows all endpoints: it must hand the job over
// rather than refuse it. ExampleClient_Submit got this answer on a busy machine.
func TestVMWithoutListHandsJobOver(t *testing.T) {
	is := is.New(t)
	d := startWith(t, judge.New(), func(s *Shape) { s.Domains, s.VMs = 1, 2 })
	v := restart(t, d, 1, 5*time.Second)
	for !connected(v, 1) || !inForce(v) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(v.Daemon.Node().Stats().Known, 0)
	c := winch.NewClient(v.Settings.Caller, "demo-crew")
	a, err := c.Submit(t.Context(), shortJob(3*time.Second))
	is.NoErr(err)
	is.Equal(a.Detail, "")
	is.Equal(a.Outcome, winch.Done)
}

// Guards against a refusal without a retry time by a single VM that knows no endpoint.
func TestSingleVMWithoutListReturnsRetryTime(t *testing.T) {
	is := is.New(t)
	d := startWith(t, judge.New(), func(s *Shape) { s.Domains, s.VMs = 1, 1 })
	v := restart(t, d, 0, 2*time.Second)
	for !inForce(v) {
		time.Sleep(10 * time.Millisecond)
	}
	c := winch.NewClient(v.Settings.Caller, "demo-crew")
	began := time.Now()
	a, err := c.Submit(t.Context(), shortJob(3*time.Second))
	is.NoErr(err)
	is.Equal(a.Outcome, winch.Refused)
	is.True(time.Since(began) < time.Second) // at once
	is.True(a.Retry > 0)
}

func inForce(v *VM) bool {
	_, _, ok := v.Daemon.Node().InForce()
	return ok
}

func post(t *testing.T, d *Deployment, path, key string, body io.Reader) (int, map[string]any) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.VMs[0].Settings.Caller.String()+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, out
}

// tasks returns n tasks as JSON, without the brackets of the list.
func tasks(job string, n int, run time.Duration) string {
	list := make([]string, n)
	for i := range list {
		list[i] = `{"body":` + string(fakes.Task{Job: job, Task: i, Run: valid.Span(run)}.Encode()) + `}`
	}
	return strings.Join(list, ",")
}

func TestBadInputIsRefusedAndStartsNothing(t *testing.T) {
	j := judge.New()
	d := start(t, j)
	const key = "demo-crew"
	cases := []struct {
		name, path, key, body string
		code                  int
		says                  string
	}{
		{"no key", "/jobs", "", `{}`, 401, "Authorization"},
		{"wrong key", "/jobs", "demo-crewx", `{}`, 401, "Authorization"},
		{"broken JSON", "/jobs", key, `{"class":"render","tasks":[`, 400, "mend the JSON"},
		{"unknown field", "/jobs", key, `{"sort":"render"}`, 400, "sort"},
		{"wrong type", "/jobs", key, `{"class":7}`, 400, "class: is a number"},
		{"no tasks", "/jobs", key, `{"class":"render"}`, 400, "tasks"},
		{"no body", "/jobs", key, `{"class":"render","tasks":[{}]}`, 400, "tasks[0].body"},
		{"521 tasks", "/jobs", key, `{"class":"render","tasks":[` + tasks("x", 521, time.Millisecond) + `]}`, 413, "521"},
		{"unknown class", "/jobs", key, `{"class":"nope","tasks":[` + tasks("x", 1, time.Millisecond) + `]}`, 400, "class"},
		{"negative deadline", "/jobs", key, `{"class":"render","deadline":"-1s","tasks":[` + tasks("x", 1, time.Millisecond) + `]}`, 400, "deadline"},
		{"deadline over the limit", "/jobs", key, `{"class":"render","deadline":"1h","tasks":[` + tasks("x", 1, time.Millisecond) + `]}`, 400, "deadline"},
		{"no duration", "/jobs", key, `{"class":"render","deadline":"soon","tasks":[` + tasks("x", 1, time.Millisecond) + `]}`, 400, "750ms"},
		{"too large a task", "/jobs", key, `{"class":"render","tasks":[{"need":{"cores":65},"body":{"job":"x"}}]}`, 413, "cores"},
		{"negative need", "/jobs", key, `{"class":"render","tasks":[{"need":{"cores":-1},"body":{"job":"x"}}]}`, 400, "need"},
		{"ticket needed", "/jobs", key, `{"class":"topup","tasks":[` + tasks("x", 1, time.Millisecond) + `]}`, 409, "ticket"},
		{"forged ticket", "/jobs", key, `{"class":"topup","ticket":"AAAA.0","tasks":[` + tasks("x", 1, time.Millisecond) + `]}`, 409, "ticket"},
		{"long kind", "/jobs", key, `{"class":"render","kind":"` + strings.Repeat("k", 65) + `","tasks":[` + tasks("x", 1, time.Millisecond) + `]}`, 400, "kind"},
		{"too many bytes", "/jobs", key, `{"class":"render","tasks":[{"body":"` + strings.Repeat("x", 5<<20) + `"}]}`, 413, "bytes"},
		{"too many tickets", "/tickets", key, `{"count":100000}`, 400, "count"},
		{"other path", "/job", key, `{}`, 400, "POST /jobs"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out := post(t, d, c.path, c.key, strings.NewReader(c.body))
			is.Equal(out["outcome"], "refused")
			is.Equal(code, c.code)
			is.True(strings.Contains(fmt.Sprint(out["detail"]), c.says)) // the detail names the fault
		})
	}
	if v := j.Verdict(); v.Jobs > 0 {
		t.Errorf("tasks were started: %+v", v)
	}
	if n := d.VMs[0].Daemon.Node().Active(); n > 0 {
		t.Errorf("%d jobs are still in progress on the VM", n)
	}
}

// Guards against a caller whose connection the HTTP library closes without an answer when
// the body is larger than any document may allow.
func TestHugeBodyIsAnswered(t *testing.T) {
	is := is.New(t)
	d := start(t, judge.New())
	c, err := net.Dial("tcp", d.VMs[0].Settings.Caller.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<30)
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	buf, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(bytes.Contains(buf, []byte(`"outcome":"refused"`)))
}

// Guards against tasks that start for a caller that is gone: all slots are held, a caller
// submits and disconnects, slots become free, and the connection was not checked while
// the job waited.
func TestDisconnectCancelsWaitingJob(t *testing.T) {
	is := is.New(t)
	j := judge.New()
	d := start(t, j)
	slots := 6 * 8
	var wg sync.WaitGroup
	for i, v := range d.VMs {
		wg.Go(func() {
			c := winch.NewClient(v.Settings.Caller, "demo-crew")
			job := winch.Job{Class: "render", Kind: "hold"}
			for k := range slots {
				job.Tasks = append(job.Tasks, winch.Task{Body: fakes.Task{Job: fmt.Sprint("hold", i), Task: k, Run: valid.Span(time.Second)}})
			}
			_, _ = c.Submit(t.Context(), job)
		})
	}
	time.Sleep(300 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.VMs[0].Settings.Caller.String()+"/jobs",
		strings.NewReader(`{"class":"night","tasks":[`+tasks("gone", 4, 10*time.Millisecond)+`]}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer demo-crew")
	go func() {
		time.Sleep(200 * time.Millisecond)
		cancel()
	}()
	_, err = http.DefaultClient.Do(req) //nolint:bodyclose // the request fails
	is.True(err != nil)
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	is.True(j.Starts("hold0") > 0)
	is.Equal(j.Starts("gone"), 0)
}

// Guards against requests lost when a VM is replaced: it shuts down under load, as on
// SIGTERM, while the load balancer still sends callers, and stops listening too early or
// drops jobs in progress.
func TestLeavingVMLosesNoJob(t *testing.T) {
	is := is.New(t)
	j := judge.New()
	d := start(t, j)
	m := mix.Default()
	for i := range m.Kinds {
		m.Kinds[i].Key = "demo-" + m.Kinds[i].Tenant
		m.Kinds[i].Most = min(8, m.Kinds[i].Most)
	}
	plan := load.Plan{Mix: m, Rate: 0.4 * 48 / m.MeanWork().Seconds(), Span: 3 * time.Second, Seed: 3}
	for _, v := range d.VMs {
		plan.Targets = append(plan.Targets, v.Settings.Caller)
	}
	l := load.New(plan, j)
	go func() {
		time.Sleep(time.Second)
		d.VMs[1].Leave()
	}()
	l.Run(t.Context())
	<-d.VMs[1].Done()
	r := l.Report()
	t.Logf("%+v", r)
	is.Equal(r.Broken(), 0)
	is.Equal(r.Done, r.Jobs)
}

func TestTicketsOverTheWire(t *testing.T) {
	is := is.New(t)
	j := judge.New()
	d := start(t, j)
	a := winch.NewClient(d.VMs[0].Settings.Caller, "demo-crew")
	b := winch.NewClient(d.VMs[3].Settings.Caller, "demo-crew")
	ts, err := a.Tickets(t.Context(), 3)
	is.NoErr(err)
	job := winch.Job{Class: "topup", Ticket: ts[0], Grant: 2, Tasks: []winch.Task{{Body: fakes.Task{Job: "t", Run: valid.Span(50 * time.Millisecond)}}}}
	j.Submit("t", 1)
	var wg sync.WaitGroup
	for _, c := range []*winch.Client{a, b, a, b} {
		wg.Go(func() {
			ans, err := c.Submit(t.Context(), job)
			if err != nil || ans.Outcome != winch.Done || len(ans.Results) != 1 || len(ans.Tickets) != 2 {
				t.Errorf("%+v, %v", ans, err)
			}
		})
	}
	wg.Wait()
	is.Equal(j.Verdict().Twice, 0)
	is.Equal(b.Ask(t.Context(), ts[0]).Outcome, winch.Done)
	is.Equal(b.Ask(t.Context(), ts[1]).Outcome, winch.Refused) // the question used up the ticket
	job.Ticket = ts[1]
	ans, err := a.Submit(t.Context(), job)
	is.NoErr(err)
	is.Equal(ans.Outcome, winch.Refused)
	job.Ticket, job.Tasks = ts[2], []winch.Task{{Body: fakes.Task{Job: "long", Run: valid.Span(5 * time.Second)}}}
	go func() {
		time.Sleep(100 * time.Millisecond)
		a.Cancel(t.Context(), ts[2])
	}()
	ans, err = b.Submit(t.Context(), job)
	is.NoErr(err)
	is.Equal(ans.Outcome, winch.Unknown) // it had started
	is.Equal(ans.Reason, "cancelled")
}
