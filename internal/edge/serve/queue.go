package serve

import (
	"time"

	"dahliawinch/internal/task/job"
)

// Waiting implements Dispatcher.
func (d *Node) Waiting(host, path string) (int, job.Answer) {
	p := d.plan.Load()
	if p == nil {
		return 0, *job.Refuse(job.NoDocument, time.Second, "no configuration is known yet")
	}
	q := p.Find(host, path)
	if q == nil {
		return 0, *job.Refuse(job.NoQueue, 0, "%s%s is no queue of version %d", host, path, p.Version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Waiting(q.Name), job.Answer{Outcome: job.Done}
}

// Leaving implements Dispatcher.
func (d *Node) Leaving() bool { return d.leaving.Load() }

// Limits implements Dispatcher.
func (d *Node) Limits() (header, body int, idle time.Duration) {
	p := d.plan.Load()
	if p == nil {
		return 0, 0, 0
	}
	return p.Header, p.Body, p.Idle
}
