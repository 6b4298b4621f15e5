// Package bench measures the cost of a task over real sockets and the control overhead
// of a daemon at several deployment sizes.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/tool/local"
	"dahliawinch/internal/tool/mix"
	"dahliawinch/winch"
)

// Wire is the cost of a task over real sockets, compared with a bare pair of HTTP client
// and server that does the same exchanges.
type Wire struct {
	Tasks   int     `json:"tasks"`
	Jobs    int     `json:"jobs"`
	Starts  float64 `json:"starts"`  // tasks started per second through one entry VM
	Entry   float64 `json:"entry"`   // microseconds of CPU time per task, of caller, entry VM and endpoint
	Bare    float64 `json:"bare"`    // the same for the bare pair
	Ratio   float64 `json:"ratio"`   // entry over bare
	Added   float64 `json:"added"`   // milliseconds of latency over a task's run time, median
	Added99 float64 `json:"added99"` // the same, 99th percentile
	Held    float64 `json:"held"`    // bytes of memory per queued job of 16 tasks
}

// Size of the measurement.
const (
	wireSlots     = 8  // of an endpoint
	wireEndpoints = 50 // endpoints
	wireJobs      = 2000
	wireTasks     = 16 // per job
	wireCallers   = 24
)

var errNotDone = errors.New("a job was not done")

func notDone(a winch.Answer) error {
	if a.Outcome == winch.Done {
		return nil
	}
	return fmt.Errorf("%w: %s %s %s", errNotDone, a.Outcome, a.Reason, a.Detail)
}

// MeasureWire runs jobs of empty tasks through one entry VM, then the same
// exchanges through a bare client and server.
func MeasureWire(ctx context.Context) (w Wire, err error) {
	shape := local.DefaultShape()
	shape.Domains, shape.VMs, shape.Endpoints, shape.Slots = 1, 1, wireEndpoints, wireSlots
	d, err := local.Start(ctx, shape, noWitness{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return w, fmt.Errorf("measure: %w", err)
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	if err := d.Declare(ctx, mix.Document()); err != nil {
		return w, fmt.Errorf("measure: %w", err)
	}
	client := winch.NewClient(d.VMs[0].Settings.Caller, "demo-crew")
	if _, _, err := runJobs(ctx, client, wireJobs/4); err != nil { // warm up
		return w, err
	}
	cpu, took, err := runJobs(ctx, client, wireJobs)
	if err != nil {
		return w, err
	}
	w.Jobs, w.Tasks = wireJobs, wireJobs*wireTasks
	w.Entry = micros(cpu) / float64(w.Tasks)
	w.Starts = float64(w.Tasks) / took.Seconds()
	bare, err := runBare(ctx)
	if err != nil {
		return w, err
	}
	w.Bare = micros(bare) / float64(w.Tasks)
	w.Ratio = w.Entry / w.Bare
	if w.Added, w.Added99, err = addedLatency(ctx, client); err != nil {
		return w, err
	}
	w.Held, err = queuedMemory(ctx, client)
	return w, err
}

type noWitness struct{}

func (noWitness) Started(string, int) {}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// cpuTime returns the CPU time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// emptyJob returns a job of n tasks without run time.
func emptyJob(n int) winch.Job {
	j := winch.Job{Class: "render", Kind: "empty"}
	for i := range n {
		j.Tasks = append(j.Tasks, winch.Task{Body: fakes.Task{Job: "bench", Task: i}})
	}
	return j
}

// runJobs submits jobs from several callers and returns CPU time and elapsed time.
func runJobs(ctx context.Context, c *winch.Client, jobs int) (cpu, took time.Duration, err error) {
	var wg sync.WaitGroup
	errs := make(chan error, wireCallers)
	cpu0, began := cpuTime(), time.Now()
	for range wireCallers {
		wg.Go(func() {
			job := emptyJob(wireTasks)
			for range jobs / wireCallers {
				a, err := c.Submit(ctx, job)
				if err = errors.Join(err, notDone(a)); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	return cpuTime() - cpu0, time.Since(began), <-errs
}

// runBare does as many exchanges with bodies of the same size, one for each task and one
// for each job, and returns the CPU time.
func runBare(ctx context.Context) (time.Duration, error) {
	e := fakes.Task{Job: "bench"}.Encode()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("bare pair: %w", err)
	}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBody(e) }}
	go func() { _ = s.Serve(l) }()
	defer s.ShutdownWithContext(ctx) //nolint:errcheck // the measurement is over
	client := &fasthttp.Client{MaxConnsPerHost: 4096}
	url := "http://" + l.Addr().String() + "/run"
	var large []byte
	for range wireTasks {
		large = append(large, e...)
	}
	exchange := func(body []byte) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI(url)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(body)
		if err := client.Do(req, resp); err != nil {
			return fmt.Errorf("bare pair: %w", err)
		}
		return nil
	}
	var wg sync.WaitGroup
	errs := make(chan error, wireCallers)
	cpu0 := cpuTime()
	for range wireCallers {
		wg.Go(func() {
			for range wireJobs / wireCallers {
				if err := exchange(large); err != nil {
					errs <- err
					return
				}
				var tasks sync.WaitGroup
				for range wireTasks {
					tasks.Go(func() {
						if err := exchange(e); err != nil {
							select {
							case errs <- err:
							default:
							}
						}
					})
				}
				tasks.Wait()
			}
		})
	}
	wg.Wait()
	close(errs)
	return cpuTime() - cpu0, <-errs
}

// addedLatency measures the latency of jobs of one task over the task's run time, in
// milliseconds, with half of the slots in use.
func addedLatency(ctx context.Context, c *winch.Client) (p50, p99 float64, err error) {
	const run, callers, each = 20 * time.Millisecond, wireEndpoints * wireSlots / 2, 20
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * run / callers)
			job := winch.Job{Class: "setup", Kind: "added", Tasks: []winch.Task{{Body: fakes.Task{Job: "bench", Run: 20e6}}}}
			for range each {
				began := time.Now()
				a, e := c.Submit(ctx, job)
				took := time.Since(began) - run
				mu.Lock()
				err = errors.Join(err, e, notDone(a))
				_ = h.RecordValue(took.Microseconds()) // the error is a value out of range, which is left out
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000, err
}

// queuedMemory returns the memory per job that waits for slots, in bytes.
func queuedMemory(ctx context.Context, c *winch.Client) (float64, error) {
	const jobs = 400
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hold := winch.Job{Class: "render", Kind: "hold"}
	for i := range wireEndpoints * wireSlots {
		hold.Tasks = append(hold.Tasks, winch.Task{Body: fakes.Task{Job: "bench", Task: i, Run: 3e9}})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var err error
	submit := func(j winch.Job) {
		a, e := c.Submit(ctx, j)
		mu.Lock()
		defer mu.Unlock()
		err = errors.Join(err, e, notDone(a))
	}
	wg.Go(func() { submit(hold) })
	time.Sleep(500 * time.Millisecond)
	before := memoryInUse()
	for range jobs {
		wg.Go(func() { submit(emptyJob(wireTasks)) })
	}
	time.Sleep(time.Second)
	after := memoryInUse()
	wg.Wait()
	return (after - before) / jobs, err
}

// memoryInUse returns the bytes of heap and goroutine stacks in use.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
