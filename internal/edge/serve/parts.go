package serve

import (
	"context"
	"net"
	"net/netip"
	"time"

	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/plat/feed"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// VM is what an entry VM tells the others of itself through the store.
type VM struct {
	Mesh   netip.AddrPort
	Domain string
}

// Registry is where entry VMs find each other.
type Registry interface {
	feed.Source[VM]
	Join(ctx context.Context, vm VM) error
	Leave(ctx context.Context, vm VM) error
}

// Platform is everything outside that the daemon needs.
type Platform struct {
	Agent     agent.Agent
	Plans     feed.Source[plan.Decl]
	Endpoints feed.Source[lease.Info]
	VMs       Registry
	Presence  Presence
	// Callers and Ready serve one listener each, with the daemon behind them.
	Callers func(d Door) Server
	Ready   func(ready func() bool) Server
}

// Server is a listener's side.
type Server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
}

// Submission is what a caller sent.
type Submission struct {
	Host    string
	Path    string // of the queue, and the job's id behind it
	Job     batch.Job
	Left    time.Duration // 0 if the caller names no deadline
	Refused string        // why a job of this kind is not served; empty if it is
	// Open reports whether the caller's connection is open; nil if it can't be looked at. It is not called
	// after Submit has returned, and must not block.
	Open func() bool
}

// Door is the daemon as callers reach it.
type Door interface {
	// Submit runs a job and returns its final answer; when ctx ends the caller has left.
	Submit(ctx context.Context, s Submission) job.Answer
	// Cancel ends a job; it reports whether this VM knew it.
	Cancel(host, path string) (known bool, a job.Answer)
	// Waiting counts a queue's jobs of which nothing has started.
	Waiting(host, path string) (n int, a job.Answer)
	// Leaving reports whether callers should go elsewhere with their next request.
	Leaving() bool
	// Limits returns the bounds that the configuration sets for requests.
	Limits() (header, body int, idle time.Duration)
}
