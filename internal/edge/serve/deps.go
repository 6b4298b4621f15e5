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

// VM is the record by which an entry VM registers itself in the store.
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

// Platform holds the external services that the daemon needs.
type Platform struct {
	Agent     agent.Agent
	Plans     feed.Source[plan.Decl]
	Endpoints feed.Source[lease.Info]
	VMs       Registry
	Presence  Presence
	// Callers and Ready each make the server of one listener, backed by the daemon.
	Callers func(d Dispatcher) Server
	Ready   func(ready func() bool) Server
}

// Server accepts the connections of one listener.
type Server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
}

// Submission is a caller's request to run a job.
type Submission struct {
	Host        string
	Path        string // the queue's path followed by the job's ID
	Job         batch.Job
	Left        time.Duration // until the caller's deadline; 0 if it names none
	Unsupported string        // why a job of this kind is not supported; empty if it is
	// Open reports whether the caller's connection is still open; nil if this can't be checked. It must not block,
	// and it is not called after Submit has returned.
	Open func() bool
}

// Dispatcher is the daemon's interface for callers.
type Dispatcher interface {
	// Submit runs a job and returns its final answer; ctx ends when the caller has left.
	Submit(ctx context.Context, s Submission) job.Answer
	// Cancel cancels a job and reports whether this VM knew it.
	Cancel(host, path string) (known bool, a job.Answer)
	// Waiting counts a queue's jobs that have not started any task.
	Waiting(host, path string) (n int, a job.Answer)
	// Leaving reports whether callers should send their next request elsewhere.
	Leaving() bool
	// Limits returns the configured bounds for requests.
	Limits() (header, body int, idle time.Duration)
}
