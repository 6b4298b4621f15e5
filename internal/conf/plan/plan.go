// Package plan holds the configuration of deployments that keep it in the platform's
// store: the queues that jobs are submitted to, as operators last declared them.
package plan

import (
	"slices"
	"strings"
	"time"
)

// Queue is a queue for jobs of one kind.
type Queue struct {
	Name     string
	Host     string
	Prefix   string        // path prefix of its requests
	Pool     string        // the endpoints that run its jobs
	Rank     int           // priority; 0 is served first
	Attempts int           // failed runs of one task after which its job fails
	Stretch  float64       // latency objective: Stretch times the work
	Slack    time.Duration // plus Slack
	Timeout  time.Duration // longest time to an answer; 0 for no limit
	Advised  bool          // an external service picks the endpoints
}

// Plan is one version of the configuration; it is immutable.
type Plan struct {
	Version int64
	Queues  []Queue
	Header  int           // largest request header in bytes; 0 for no limit
	Body    int           // largest request body in bytes
	Idle    time.Duration // how long a caller's idle connection is kept open
}

// Uses reports whether a queue's jobs run on a pool's endpoints.
func (p *Plan) Uses(pool string) bool {
	return slices.ContainsFunc(p.Queues, func(q Queue) bool { return q.Pool == pool })
}

// Find returns the queue of the host with the longest prefix of the path, or nil.
func (p *Plan) Find(host, path string) (best *Queue) {
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}
