// Package meter holds the metrics for operators and tests: histograms per tenant and class,
// outcomes, and wasted messages.
package meter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"dahliawinch/internal/task/job"
)

// Cause says why a message was wasted: it neither started a task nor delivered a result.
type Cause uint8

// Causes of wasted messages.
const (
	Probe Cause = iota
	Refusal
	Retry
	Forward
	Gossip
	Duplicate
	Cancel
	causes
)

var causeNames = [causes]string{"probe", "refusal", "retry", "forward", "gossip", "duplicate", "cancel"}

func (c Cause) String() string { return causeNames[c] }

// Causes lists all causes.
func Causes() []Cause {
	all := make([]Cause, causes)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// maxTenants bounds the label values; further tenants share the label "other".
const maxTenants = 490

// Meter holds one VM's metrics.
type Meter struct {
	Registry *prometheus.Registry
	wasted   [causes]atomic.Int64
	starts   atomic.Int64
	mu       sync.Mutex
	tenants  map[string]bool
	response *prometheus.HistogramVec
	wait     *prometheus.HistogramVec
	run      *prometheus.HistogramVec
	ratio    *prometheus.HistogramVec
	outlived prometheus.Histogram
	tries    *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
	control  *prometheus.CounterVec
	split    prometheus.Counter
	parts    *prometheus.CounterVec
	lostRuns *prometheus.CounterVec
}

// New returns a meter with a registry of its own.
func New() *Meter {
	m := &Meter{Registry: prometheus.NewRegistry(), tenants: map[string]bool{}}
	m.Registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	times := prometheus.ExponentialBuckets(0.001, 2, 18)
	byTenant := []string{"tenant", "class"}
	hist := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dahliawinch_" + name, Help: help, Buckets: buckets}, byTenant)
		m.Registry.MustRegister(v)
		return v
	}
	m.response = hist("response_seconds", "From submission to answer, done jobs.", times)
	m.wait = hist("wait_seconds", "From submission to the start of a task.", times)
	m.run = hist("run_seconds", "From a task's send to its answer.", times)
	m.ratio = hist("ratio", "Response over the longest run of the job's tasks.", prometheus.ExponentialBuckets(1, 1.15, 24))
	m.outlived = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "dahliawinch_outlived_seconds", Help: "From a job's last keepalive to by when its last run had ended, of jobs that ended before their runs.",
		Buckets: prometheus.LinearBuckets(0.1, 0.1, 20),
	})
	m.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dahliawinch_jobs_total", Help: "Answered jobs."}, []string{"tenant", "class", "outcome", "reason"})
	m.control = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dahliawinch_control_bytes_total", Help: "Bytes between entry VMs by purpose."}, []string{"purpose", "way"})
	m.split = prometheus.NewCounter(prometheus.CounterOpts{Name: "dahliawinch_split_jobs_total", Help: "Jobs whose tasks went to several owners."})
	m.parts = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dahliawinch_parts_total", Help: "Answered parts of split jobs."}, []string{"outcome"})
	m.tries = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "dahliawinch_tries", Help: "Owners that were tried for a job.", Buckets: prometheus.LinearBuckets(0, 1, 6),
	}, []string{"outcome"})
	m.lostRuns = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dahliawinch_lost_runs_total", Help: "Runs that were lost with their endpoint, its process or its lease."}, []string{"cause"})
	m.Registry.MustRegister(m.outcomes, m.control, m.outlived, m.split, m.parts, m.tries, m.lostRuns)
	for _, c := range Causes() {
		m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "dahliawinch_wasted_total", Help: "Messages that did no work.", ConstLabels: prometheus.Labels{"cause": c.String()},
		}, func() float64 { return float64(m.Wasted(c)) }))
	}
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "dahliawinch_starts_total", Help: "Task attempts sent.",
	}, func() float64 { return float64(m.Starts()) }))
	return m
}

// AddWasted counts n wasted messages.
func (m *Meter) AddWasted(c Cause, n int) { m.wasted[c].Add(int64(n)) }

// Wasted returns the wasted messages of one cause.
func (m *Meter) Wasted(c Cause) int64 { return m.wasted[c].Load() }

// AddStart counts an attempt that was sent.
func (m *Meter) AddStart() { m.starts.Add(1) }

// Starts returns how many attempts were sent.
func (m *Meter) Starts() int64 { return m.starts.Load() }

// ObserveOutlived records how long after its job's last keepalive the last run ended.
func (m *Meter) ObserveOutlived(d time.Duration) { m.outlived.Observe(d.Seconds()) }

// AddControlBytes counts bytes between entry VMs; way is their direction.
func (m *Meter) AddControlBytes(purpose, way string, n int) {
	m.control.WithLabelValues(purpose, way).Add(float64(n))
}

// AddSplitJob counts a job whose tasks went to several owners.
func (m *Meter) AddSplitJob() { m.split.Inc() }

// AddPart counts an owner's answer to a part of a split job.
func (m *Meter) AddPart(outcome job.Outcome) { m.parts.WithLabelValues(outcome.String()).Inc() }

// AddLostRuns counts runs that were lost.
func (m *Meter) AddLostRuns(cause string, n int) { m.lostRuns.WithLabelValues(cause).Add(float64(n)) }

// Gauge registers a gauge; fn is called at each scrape.
func (m *Meter) Gauge(name, help string, fn func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dahliawinch_" + name, Help: help}, fn))
}

// GaugeOf registers one gauge of several that differ in a label; fn is called at each scrape.
func (m *Meter) GaugeOf(name, help, label, value string, fn func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dahliawinch_" + name, Help: help, ConstLabels: prometheus.Labels{label: value}}, fn))
}

// ObserveTries records how many owners were tried for a job that ended.
func (m *Meter) ObserveTries(outcome string, n int) {
	m.tries.WithLabelValues(outcome).Observe(float64(n))
}

// ObserveTask records one finished task.
func (m *Meter) ObserveTask(tenant, class string, wait, run time.Duration) {
	tenant = m.tenantLabel(tenant)
	m.wait.WithLabelValues(tenant, class).Observe(wait.Seconds())
	m.run.WithLabelValues(tenant, class).Observe(run.Seconds())
}

// ObserveJob records one answered job; longest is the run time of its longest task.
func (m *Meter) ObserveJob(tenant, class string, a *job.Answer, took, longest time.Duration) {
	tenant = m.tenantLabel(tenant)
	m.outcomes.WithLabelValues(tenant, class, a.Outcome.String(), string(a.Reason)).Inc()
	if a.Outcome != job.Done {
		return
	}
	m.response.WithLabelValues(tenant, class).Observe(took.Seconds())
	if longest > 0 {
		m.ratio.WithLabelValues(tenant, class).Observe(took.Seconds() / longest.Seconds())
	}
}

func (m *Meter) tenantLabel(tenant string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tenants[tenant] {
		return tenant
	}
	if len(m.tenants) >= maxTenants {
		return "other"
	}
	m.tenants[tenant] = true
	return tenant
}
