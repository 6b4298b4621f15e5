// Package frame defines the messages between entry VMs and their encoding: msgpack
// in length-prefixed frames over TCP.
package frame

import (
	"net/netip"
	"time"

	"dahliawinch/internal/conf/fold"
	"dahliawinch/internal/conf/plan"
	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Msg is one message between entry VMs.
type Msg interface{ kind() kind }

type kind uint8

const (
	kindHello kind = iota + 1
	kindHeartbeat
	kindStartTasks
	kindTasksAccepted
	kindTaskResults
	kindSubmit
	kindSubmitReply
	kindDocument
	kindDocumentRequest
	kindRunJob
	kindJobAnswer
	kindCancelJob
	kindLoad
	kindPlanUpdate
	kindEndpointUpdate
	kindSnapshotRequest
	kindAck
	kindPacked // a compressed message; see Pack
	kindKeepalive
	numKinds
)

// Hello is the first message on a link. All that follow come from this incarnation of the VM.
type Hello struct {
	VM     netip.AddrPort `msgpack:"v"`
	Inc    uint64         `msgpack:"i"`
	Domain string         `msgpack:"d"`
	// Counts says that the sender can read Ack and packed messages; VMs of older versions can't.
	Counts bool `msgpack:"c,omitempty"`
}

// Ack tells the receiver how many of its messages the sender has read. It is sent along with other
// messages and replaces a separate acknowledgement.
type Ack struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads this tag
	Inc      uint64   // the receiver's incarnation that sent the messages
	Count    uint64   // its reliable messages that were read
}

// Heartbeat tells peers that the sender is alive, and what they need to send work where it can start.
type Heartbeat struct {
	At      time.Time            `msgpack:"t"` // the sender's clock
	Room    Room                 `msgpack:"f"`
	Wait    time.Duration        `msgpack:"w"` // expected wait of a new task in the routine band
	Queued  int                  `msgpack:"q"`
	Leaving bool                 `msgpack:"l,omitempty"`
	Doubts  []netip.AddrPort     `msgpack:"s,omitempty"` // peers that the sender has not heard from lately
	Gone    []netip.AddrPort     `msgpack:"g,omitempty"` // endpoints that announced that they are leaving
	Out     []netip.AddrPort     `msgpack:"o,omitempty"` // endpoints ejected by health checks
	Rev     uint64               `msgpack:"r"`           // configuration revision in force at the sender
	Asof    int64                `msgpack:"a"`           // log offset up to which that revision was read
	Use     map[string]TenantUse `msgpack:"u,omitempty"` // use by tenants with quotas
	Claims  []Claim              `msgpack:"c,omitempty"` // groups of leased endpoints owned here
	Power   float32              `msgpack:"p,omitempty"` // number of cores that the sender may use
	// Storeless says that the platform's store does not answer the sender.
	Storeless bool `msgpack:"n,omitempty"`
	// Late lists the peers whose heartbeats reach the sender late.
	Late []LatePeer `msgpack:"z,omitempty"`
	// Strained says that the sender's messages reach most other VMs late.
	Strained bool `msgpack:"x,omitempty"`
	// Suspects are tasks that the sender suspects of crashing their endpoints.
	Suspects []Suspect `msgpack:"k,omitempty"`
	// Losses are endpoints that stopped answering the sender or were lost.
	Losses []Loss `msgpack:"m,omitempty"`
	// Cleared are endpoints that the sender now owns and that run nothing for former owners.
	Cleared []Cleared `msgpack:"e,omitempty"`
	// Jobs are hashes of the IDs of the sender's jobs that callers who left may submit again by now, at any VM.
	Jobs []uint64 `msgpack:"j,omitempty"`
	// Relayed are the Jobs of other VMs that some VM does not hear.
	Relayed []uint64 `msgpack:"v,omitempty"`
	// Unheard are the failure domains of which the sender has heard VMs, but hears none any more.
	Unheard []string `msgpack:"h,omitempty"`
	// Speeds are estimates of how fast endpoints of the sender's failure domain are; see speed.Tracker.Changes. Only VMs
	// of that domain get them.
	Speeds []byte `msgpack:"b,omitempty"`
	// Load is the sender's load, if it is not sent in messages of its own.
	Load *Load `msgpack:"y,omitempty"`
	// Demand is what arrives at the sender and what its endpoints can take.
	Demand *Demand `msgpack:"d,omitempty"`
	// Parts says that the sender can run parts of a job.
	Parts bool `msgpack:"i,omitempty"`
	// Shared states what ranks with a guaranteed share hold and want at the sender, by pool.
	Shared []Shared `msgpack:"sh,omitempty"`
}

// Suspect is a task that was running on endpoints when they were lost.
type Suspect struct {
	Task string `msgpack:"t"`
	Lost int    `msgpack:"n"` // number of endpoints
}

// Loss is an endpoint that stopped answering or was lost.
type Loss struct {
	Endpoint string        `msgpack:"i"`
	Age      time.Duration `msgpack:"a"` // since the first sign
}

// Cleared says that a process of an endpoint has accepted a fence and runs nothing under lower ones.
type Cleared struct {
	Endpoint string `msgpack:"i"`
	Fence    uint64 `msgpack:"f"`
	Born     int64  `msgpack:"b,omitempty"` // when the process started, Unix milliseconds
}

// LatePeer says how much later than usual a peer's last heartbeat came, or how long the next one is overdue.
type LatePeer struct {
	VM netip.AddrPort `msgpack:"v"`
	By time.Duration  `msgpack:"b"`
}

// Claim says that a VM owns groups of a failure domain's leased endpoints.
type Claim struct {
	Domain string   `msgpack:"d"`
	Shards uint64   `msgpack:"g"` // one bit for each group
	Fence  uint64   `msgpack:"f"`
	Giving bool     `msgpack:"l,omitempty"` // the groups are being handed over to another VM
	Held   []string `msgpack:"h,omitempty"` // endpoints that the sender still uses meanwhile
}

// Room is how many more tasks a VM could start now.
type Room struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads this tag
	Free     int      // non-urgent tasks
	Urgent   int      // urgent tasks, which may also use the reserve
}

// Less returns the room that is left after n more tasks have started.
func (r Room) Less(n int) Room {
	return Room{Free: max(0, r.Free-n), Urgent: max(0, r.Urgent-n)}
}

// TenantUse is what a tenant asks for and holds at one VM.
type TenantUse struct {
	Rate  float64 `msgpack:"r"` // wanted task starts per second
	Slots int     `msgpack:"s"` // slots held
}

// Task is a task that is forwarded to another failure domain or VM.
type Task struct {
	Job    uint64        `msgpack:"j"` // job number at the sender
	Index  int           `msgpack:"i"`
	Tenant string        `msgpack:"t"`
	Class  string        `msgpack:"c"`
	Kind   string        `msgpack:"k"`
	Left   time.Duration `msgpack:"l"` // time left until its answer is useless
	Task   job.Task      `msgpack:"x"`
}

// StartTasks asks a peer to start tasks at once. It returns those that it can't start.
type StartTasks struct {
	At    time.Time `msgpack:"a"` // the sender's clock; tasks of a delayed message are not started
	Group uint64    `msgpack:"g"`
	Tasks []Task    `msgpack:"t"`
}

// TasksAccepted says how many tasks of a group were accepted, counted from its first;
// the others did not start.
type TasksAccepted struct {
	To    uint64 `msgpack:"b"` // the incarnation that sent the group
	Group uint64 `msgpack:"g"`
	Count int    `msgpack:"n"`
	Room  Room   `msgpack:"f"`
}

// TaskOutcome is how a forwarded task ended.
type TaskOutcome uint8

// Values of TaskOutcome.
const (
	Succeeded  TaskOutcome = iota // the result is in Body
	Failed                        // it ran and returned a failure
	NotStarted                    // it certainly did not start
	Uncertain                     // it may have started
)

// TaskResult is the end of one task of a group.
type TaskResult struct {
	Job     uint64      `msgpack:"j"`
	Index   int         `msgpack:"i"`
	Outcome TaskOutcome `msgpack:"f"`
	Body    []byte      `msgpack:"b,omitempty"`
	Detail  string      `msgpack:"d,omitempty"`
}

// TaskResults returns ended tasks of a group to the VM that sent it.
type TaskResults struct {
	To      uint64       `msgpack:"b"` // the incarnation that sent the group
	Group   uint64       `msgpack:"g"`
	Results []TaskResult `msgpack:"e"`
	Room    Room         `msgpack:"f"`
}

// Submit hands a whole submission to the VM that may start it.
type Submit struct {
	Call      uint64      `msgpack:"c"`
	QueryOnly bool        `msgpack:"l,omitempty"` // only ask for the state of its ticket
	Cancel    bool        `msgpack:"s,omitempty"` // cancel the job that runs under its ticket
	Req       job.Request `msgpack:"r"`
}

// SubmitReply answers a Submit.
type SubmitReply struct {
	To     uint64     `msgpack:"b"` // the incarnation that sent the Submit
	Call   uint64     `msgpack:"c"`
	Answer job.Answer `msgpack:"a"`
}

// Document carries a revision of the configuration document.
type Document struct {
	Revision fold.Revision `msgpack:"r"`
}

// DocumentRequest asks for the revision in force.
type DocumentRequest struct{}

// RunJob hands a job to the owner of leased endpoints.
type RunJob struct {
	To   uint64    `msgpack:"t"` // the receiver's incarnation; Job.Asked is a time of its clock
	Call uint64    `msgpack:"c"`
	Job  batch.Job `msgpack:"j"`
	// Tried are the owners that had the job before and do not run it.
	Tried []netip.AddrPort `msgpack:"r,omitempty"`
}

// Keepalive lists the RunJob calls that the sender still waits for. The receiver ends a job
// that none has listed for a while.
type Keepalive struct {
	To    uint64    `msgpack:"a"` // the receiver's incarnation
	Asked time.Time `msgpack:"t"` // earliest time of sending, by the receiver's clock
	Calls []uint64  `msgpack:"c"`
}

// JobAnswer answers a RunJob.
type JobAnswer struct {
	To     uint64     `msgpack:"b"` // the incarnation that sent the RunJob
	Call   uint64     `msgpack:"c"` // call number of that incarnation
	Answer job.Answer `msgpack:"a"`
	Load   Load       `msgpack:"l"`
	// Demand is the sender's room when it refused the job.
	Demand *Demand `msgpack:"d,omitempty"`
}

// CancelJob cancels a RunJob because its caller left or its deadline has passed.
type CancelJob struct {
	At   time.Time `msgpack:"a"` // the sender's clock
	Call uint64    `msgpack:"c"`
}

// Load tells how busy a VM's leased endpoints are. It is sent as a message of its own, without waiting for the next
// heartbeat; in a large fleet it is part of heartbeats instead.
type Load struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // the codec reads this tag
	Free     float32       // cores that a job could use now
	Total    float32       // cores that accept work
	Ahead    [3]float32    // core-seconds waiting and running, of ranks up to 0, 1 and any
	Next     time.Duration // the next Load comes within this time
	Lag      time.Duration // how long an order from the sender to an endpoint takes
}

// PlanUpdate passes on what the sender read of the operators' declarations.
type PlanUpdate struct {
	From    int64       `msgpack:"f"` // offsets in the store's topic
	To      int64       `msgpack:"t"`
	All     []plan.Plan `msgpack:"p,omitempty"`
	Cordons []string    `msgpack:"c,omitempty"` // failure domains that get no new work
	Gone    []string    `msgpack:"g,omitempty"` // keys of withdrawn declarations
	// Whole marks a full copy, sent in answer to a SnapshotRequest.
	Whole bool `msgpack:"w,omitempty"`
}

// EndpointUpdate passes on what the sender read of the leased endpoints.
type EndpointUpdate struct {
	From int64        `msgpack:"f"`
	To   int64        `msgpack:"t"`
	All  []lease.Info `msgpack:"e,omitempty"`
	Gone []string     `msgpack:"g,omitempty"`
	// Whole marks a full copy, sent in answer to a SnapshotRequest.
	Whole bool `msgpack:"w,omitempty"`
}

// SnapshotRequest asks for a copy of all that the receiver read from the store.
type SnapshotRequest struct {
	Plans     bool `msgpack:"p,omitempty"`
	Endpoints bool `msgpack:"e,omitempty"`
}

func (*Hello) kind() kind           { return kindHello }
func (*Heartbeat) kind() kind       { return kindHeartbeat }
func (*StartTasks) kind() kind      { return kindStartTasks }
func (*TasksAccepted) kind() kind   { return kindTasksAccepted }
func (*TaskResults) kind() kind     { return kindTaskResults }
func (*Submit) kind() kind          { return kindSubmit }
func (*SubmitReply) kind() kind     { return kindSubmitReply }
func (*Document) kind() kind        { return kindDocument }
func (*DocumentRequest) kind() kind { return kindDocumentRequest }
func (*RunJob) kind() kind          { return kindRunJob }
func (*JobAnswer) kind() kind       { return kindJobAnswer }
func (*CancelJob) kind() kind       { return kindCancelJob }
func (*Load) kind() kind            { return kindLoad }
func (*PlanUpdate) kind() kind      { return kindPlanUpdate }
func (*EndpointUpdate) kind() kind  { return kindEndpointUpdate }
func (*SnapshotRequest) kind() kind { return kindSnapshotRequest }
func (*Ack) kind() kind             { return kindAck }
func (*Keepalive) kind() kind       { return kindKeepalive }

// constructors build an empty message of each kind.
var constructors = [numKinds]func() Msg{
	kindHello:           func() Msg { return &Hello{} },
	kindHeartbeat:       func() Msg { return &Heartbeat{} },
	kindStartTasks:      func() Msg { return &StartTasks{} },
	kindTasksAccepted:   func() Msg { return &TasksAccepted{} },
	kindTaskResults:     func() Msg { return &TaskResults{} },
	kindSubmit:          func() Msg { return &Submit{} },
	kindSubmitReply:     func() Msg { return &SubmitReply{} },
	kindDocument:        func() Msg { return &Document{} },
	kindDocumentRequest: func() Msg { return &DocumentRequest{} },
	kindRunJob:          func() Msg { return &RunJob{} },
	kindJobAnswer:       func() Msg { return &JobAnswer{} },
	kindCancelJob:       func() Msg { return &CancelJob{} },
	kindLoad:            func() Msg { return &Load{} },
	kindPlanUpdate:      func() Msg { return &PlanUpdate{} },
	kindEndpointUpdate:  func() Msg { return &EndpointUpdate{} },
	kindSnapshotRequest: func() Msg { return &SnapshotRequest{} },
	kindAck:             func() Msg { return &Ack{} },
	kindKeepalive:       func() Msg { return &Keepalive{} },
}

// Purpose returns the label under which a message's bytes are counted as control traffic.
func Purpose(m Msg) string { return purposes[m.kind()] }

var purposes = [numKinds]string{
	kindHello: "link", kindHeartbeat: "beat", kindStartTasks: "forward", kindTasksAccepted: "forward", kindTaskResults: "forward",
	kindSubmit: "handoff", kindSubmitReply: "handoff", kindDocument: "document", kindDocumentRequest: "document",
	kindRunJob: "forward", kindJobAnswer: "forward", kindCancelJob: "forward", kindLoad: "load",
	kindPlanUpdate: "document", kindEndpointUpdate: "endpoints", kindSnapshotRequest: "endpoints", kindAck: "link", kindKeepalive: "forward",
}

// Reliable reports whether a message must arrive and is kept until the peer has read
// it. The others are superseded by the next one of their kind.
func Reliable(m Msg) bool {
	switch m.(type) {
	case *Hello, *Heartbeat, *DocumentRequest, *Load, *PlanUpdate, *EndpointUpdate, *SnapshotRequest, *Ack, *Keepalive:
		return false
	default:
		return true
	}
}

// Answering reports whether a message answers or cancels an earlier one. It is kept even
// while there is no connection: the peer waits for it, or would go on with work that
// nobody wants.
func Answering(m Msg) bool {
	switch m.(type) {
	case *TasksAccepted, *TaskResults, *SubmitReply, *JobAnswer, *CancelJob:
		return true
	default:
		return false
	}
}
