// Package plan has the queues that jobs are submitted to, as the operators last
// declared them for deployments whose configuration the platform's store keeps.
package plan

import (
	"slices"
	"strings"
	"time"
)

// Queue takes jobs of one kind.
type Queue struct {
	Name     string
	Host     string
	Prefix   string // of the path
	Pool     string // endpoints that run its jobs
	Rank     int    // 0 goes first
	Attempts int    // failed runs of one task that fail a job
	Stretch  float64
	Slack    time.Duration
	Timeout  time.Duration // longest time for an answer; 0 for none
	Advised  bool          // an outside service picks the endpoints
}

// Plan is one version of the configuration; it never changes.
type Plan struct {
	Version int64
	Queues  []Queue
	Header  int           // most bytes of a request's header; 0 for no limit
	Body    int           // most bytes of a request's body
	Idle    time.Duration // how long an idle connection of a caller is kept
}

// Uses reports whether a queue's jobs run on a pool's endpoints.
func (p *Plan) Uses(pool string) bool {
	return slices.ContainsFunc(p.Queues, func(q Queue) bool { return q.Pool == pool })
}

// Find returns the queue with the longest prefix of a path, or nil.
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
