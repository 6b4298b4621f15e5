// Package frame has the messages between entry VMs and their coding: msgpack in
// frames over TCP.
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
	kindBeat
	kindGive
	kindTook
	kindBack
	kindSubmit
	kindReply
	kindHave
	kindWant
	kindHand
	kindTold
	kindDrop
	kindLoad
	kindPlanned
	kindListed
	kindAsk
	kindSeen
	kindPacked // another message, compressed; see Pack
	kindKeepalive
	kinds
)

// Hello opens a link; whatever follows is of this incarnation.
type Hello struct {
	VM     netip.AddrPort `msgpack:"v"`
	Inc    uint64         `msgpack:"i"`
	Domain string         `msgpack:"d"`
	// Counts says that the sender understands a Seen and what is packed.
	Counts bool `msgpack:"c,omitempty"`
}

// Seen tells the receiver how many of its messages the sender has read. It rides on what goes out
// anyway, in place of an acknowledgement of its own.
type Seen struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads this tag
	Inc      uint64   // the receiver's incarnation that is meant
	Count    uint64   // its messages that must arrive
}

// Beat is the heartbeat, with what peers need to send work where it can start.
type Beat struct {
	At      time.Time        `msgpack:"t"` // the sender's clock
	Room    Room             `msgpack:"f"`
	Wait    time.Duration    `msgpack:"w"` // expected wait of a new routine task
	Queued  int              `msgpack:"q"`
	Leaving bool             `msgpack:"l,omitempty"`
	Doubts  []netip.AddrPort `msgpack:"s,omitempty"` // peers not heard from
	Gone    []netip.AddrPort `msgpack:"g,omitempty"` // endpoints that said they leave
	Out     []netip.AddrPort `msgpack:"o,omitempty"` // endpoints ejected
	Rev     uint64           `msgpack:"r"`           // revision in force here
	Asof    int64            `msgpack:"a"`
	Use     map[string]Use   `msgpack:"u,omitempty"` // tenants with quotas
	Claims  []Claim          `msgpack:"c,omitempty"` // groups of leased endpoints owned here
	Power   float32          `msgpack:"p,omitempty"` // cores that the sender may use
	// Storeless says that the platform's store does not answer the sender.
	Storeless bool `msgpack:"n,omitempty"`
	// Late are the peers whose heartbeats reach the sender late.
	Late []Late `msgpack:"z,omitempty"`
	// Strained says that the sender's messages reach most others late.
	Strained bool `msgpack:"x,omitempty"`
	// Suspects are tasks that the sender has come to suspect of crashing their endpoints.
	Suspects []Suspect `msgpack:"k,omitempty"`
	// Losses are endpoints that have fallen silent to the sender or were lost.
	Losses []Loss `msgpack:"m,omitempty"`
	// Cleared are endpoints that the sender took over and where nothing runs for former owners any more.
	Cleared []Cleared `msgpack:"e,omitempty"`
	// Load is the sender's load, if it is told with heartbeats alone.
	Load *Load `msgpack:"y,omitempty"`
}

// Suspect is a task under which endpoints were lost.
type Suspect struct {
	Task string `msgpack:"t"`
	Lost int    `msgpack:"n"`
}

// Loss is an endpoint that has fallen silent or was lost.
type Loss struct {
	Endpoint string        `msgpack:"i"`
	Age      time.Duration `msgpack:"a"` // since the first sign
}

// Cleared says that an endpoint obeys a fence and runs nothing of lower ones.
type Cleared struct {
	Endpoint string `msgpack:"i"`
	Fence    uint64 `msgpack:"f"`
}

// Late says how much later than usual a peer's last heartbeat came.
type Late struct {
	VM netip.AddrPort `msgpack:"v"`
	By time.Duration  `msgpack:"b"`
}

// Claim says that a VM owns groups of a failure domain's leased endpoints.
type Claim struct {
	Domain string   `msgpack:"d"`
	Shards uint64   `msgpack:"g"` // a bit for each group
	Fence  uint64   `msgpack:"f"`
	Giving bool     `msgpack:"l,omitempty"` // another VM is to take them over,
	Held   []string `msgpack:"h,omitempty"` // but for these endpoints
}

// Room is how many tasks a VM could start now if it were given them.
type Room struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads this tag
	Free     int      // non-urgent ones
	Urgent   int      // urgent ones: the reserve counts too
}

// Less returns the room that is left after a number of tasks.
func (r Room) Less(n int) Room {
	return Room{Free: max(0, r.Free-n), Urgent: max(0, r.Urgent-n)}
}

// Use is what a tenant asks for and holds at one VM.
type Use struct {
	Rate  float64 `msgpack:"r"` // task starts per second wanted
	Slots int     `msgpack:"s"` // slots held
}

// Task is one task on its way to another failure domain or VM.
type Task struct {
	Job    uint64        `msgpack:"j"` // of the giver
	Index  int           `msgpack:"i"`
	Tenant string        `msgpack:"t"`
	Class  string        `msgpack:"c"`
	Kind   string        `msgpack:"k"`
	Left   time.Duration `msgpack:"l"` // time until its answer is of no use
	Task   job.Task      `msgpack:"x"`
}

// Give asks a peer to start tasks at once; what it can't start it gives back.
type Give struct {
	At    time.Time `msgpack:"a"` // the sender's clock; a delayed Give is not started
	Group uint64    `msgpack:"g"`
	Tasks []Task    `msgpack:"t"`
}

// Took says how many tasks of a group were taken, from its head; the others did
// not start.
type Took struct {
	To    uint64 `msgpack:"b"` // the incarnation that gave the group
	Group uint64 `msgpack:"g"`
	N     int    `msgpack:"n"`
	Room  Room   `msgpack:"f"`
}

// Fate of a given task.
type Fate uint8

// The fates.
const (
	Ran       Fate = iota // and its result is in Body
	RanBadly              // it ran and failed
	NotRun                // nothing started, and that is certain
	Uncertain             // a start can't be excluded
)

// Ended is one task of a group that came to an end.
type Ended struct {
	Job    uint64 `msgpack:"j"`
	Index  int    `msgpack:"i"`
	Fate   Fate   `msgpack:"f"`
	Body   []byte `msgpack:"b,omitempty"`
	Detail string `msgpack:"d,omitempty"`
}

// Back brings ended tasks of a group home.
type Back struct {
	To    uint64  `msgpack:"b"` // the incarnation that gave the group
	Group uint64  `msgpack:"g"`
	Ended []Ended `msgpack:"e"`
	Room  Room    `msgpack:"f"`
}

// Submit hands a whole submission to the VM that may start it.
type Submit struct {
	Call uint64      `msgpack:"c"`
	Look bool        `msgpack:"l,omitempty"` // only ask after its ticket
	Stop bool        `msgpack:"s,omitempty"` // cancel what runs under its ticket
	Req  job.Request `msgpack:"r"`
}

// Reply answers a Submit.
type Reply struct {
	To     uint64     `msgpack:"b"` // the incarnation that handed it over
	Call   uint64     `msgpack:"c"`
	Answer job.Answer `msgpack:"a"`
}

// Have carries a revision of the document.
type Have struct {
	Revision fold.Revision `msgpack:"r"`
}

// Want asks for the revision in force.
type Want struct{}

// Hand gives a job to the owner of leased endpoints.
type Hand struct {
	To   uint64    `msgpack:"t"` // the receiver's incarnation, whose clock Job.Asked goes by
	Call uint64    `msgpack:"c"`
	Job  batch.Job `msgpack:"j"`
}

// Keepalive says which Hands the sender still waits for. What is in none for a while is not wanted.
type Keepalive struct {
	To    uint64    `msgpack:"a"` // the receiver's incarnation
	Asked time.Time `msgpack:"t"` // when it was sent, at the earliest, by the receiver's clock
	Calls []uint64  `msgpack:"c"`
}

// Told answers a Hand.
type Told struct {
	To     uint64     `msgpack:"b"` // the incarnation that handed the job over
	Call   uint64     `msgpack:"c"` // of that incarnation
	Answer job.Answer `msgpack:"a"`
	Load   Load       `msgpack:"l"`
}

// Drop takes a Hand back: its caller left, or its time is over.
type Drop struct {
	At   time.Time `msgpack:"a"` // the sender's clock
	Call uint64    `msgpack:"c"`
}

// Load tells how busy a VM's leased endpoints are; it overtakes heartbeats.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads this tag
	Free     float32  // cores that a job could use now
	Total    float32  // cores open to work
	Ahead    [3]float32
	Next     time.Duration // until it is told again, at the latest
	Lag      time.Duration // what an order takes the sender
}

// Planned passes on what the sender read of what operators declare.
type Planned struct {
	From    int64       `msgpack:"f"` // places in the store's topic
	To      int64       `msgpack:"t"`
	All     []plan.Plan `msgpack:"p,omitempty"`
	Cordons []string    `msgpack:"c,omitempty"` // failure domains that get no new work
	Gone    []string    `msgpack:"g,omitempty"` // keys of declarations that were taken back
	// Whole says that it is all that the sender knows, an answer to Ask.
	Whole bool `msgpack:"w,omitempty"`
}

// Listed passes on what the sender read of the leased endpoints.
type Listed struct {
	From int64        `msgpack:"f"`
	To   int64        `msgpack:"t"`
	All  []lease.Info `msgpack:"e,omitempty"`
	Gone []string     `msgpack:"g,omitempty"`
	// Whole says that it is all that the sender knows, an answer to Ask.
	Whole bool `msgpack:"w,omitempty"`
}

// Ask asks for a copy of what the receiver read of the store.
type Ask struct {
	Plans     bool `msgpack:"p,omitempty"`
	Endpoints bool `msgpack:"e,omitempty"`
}

func (*Hello) kind() kind     { return kindHello }
func (*Beat) kind() kind      { return kindBeat }
func (*Give) kind() kind      { return kindGive }
func (*Took) kind() kind      { return kindTook }
func (*Back) kind() kind      { return kindBack }
func (*Submit) kind() kind    { return kindSubmit }
func (*Reply) kind() kind     { return kindReply }
func (*Have) kind() kind      { return kindHave }
func (*Want) kind() kind      { return kindWant }
func (*Hand) kind() kind      { return kindHand }
func (*Told) kind() kind      { return kindTold }
func (*Drop) kind() kind      { return kindDrop }
func (*Load) kind() kind      { return kindLoad }
func (*Planned) kind() kind   { return kindPlanned }
func (*Listed) kind() kind    { return kindListed }
func (*Ask) kind() kind       { return kindAsk }
func (*Seen) kind() kind      { return kindSeen }
func (*Keepalive) kind() kind { return kindKeepalive }

// makers builds an empty message of each kind.
var makers = [kinds]func() Msg{
	kindHello:     func() Msg { return &Hello{} },
	kindBeat:      func() Msg { return &Beat{} },
	kindGive:      func() Msg { return &Give{} },
	kindTook:      func() Msg { return &Took{} },
	kindBack:      func() Msg { return &Back{} },
	kindSubmit:    func() Msg { return &Submit{} },
	kindReply:     func() Msg { return &Reply{} },
	kindHave:      func() Msg { return &Have{} },
	kindWant:      func() Msg { return &Want{} },
	kindHand:      func() Msg { return &Hand{} },
	kindTold:      func() Msg { return &Told{} },
	kindDrop:      func() Msg { return &Drop{} },
	kindLoad:      func() Msg { return &Load{} },
	kindPlanned:   func() Msg { return &Planned{} },
	kindListed:    func() Msg { return &Listed{} },
	kindAsk:       func() Msg { return &Ask{} },
	kindSeen:      func() Msg { return &Seen{} },
	kindKeepalive: func() Msg { return &Keepalive{} },
}

// Purpose names the part of the control cost that a message belongs to.
func Purpose(m Msg) string { return purposes[m.kind()] }

var purposes = [kinds]string{
	kindHello: "link", kindBeat: "beat", kindGive: "forward", kindTook: "forward", kindBack: "forward",
	kindSubmit: "handoff", kindReply: "handoff", kindHave: "document", kindWant: "document",
	kindHand: "forward", kindTold: "forward", kindDrop: "forward", kindLoad: "load",
	kindPlanned: "document", kindListed: "endpoints", kindAsk: "endpoints", kindSeen: "link", kindKeepalive: "forward",
}

// Reliable reports whether a message must arrive: it is kept until the peer has
// read it. The others are overtaken by the next of their kind.
func Reliable(m Msg) bool {
	switch m.(type) {
	case *Hello, *Beat, *Want, *Load, *Planned, *Listed, *Ask, *Seen, *Keepalive:
		return false
	default:
		return true
	}
}

// Answering reports whether a message answers one of the peer's or takes one back: it is
// kept even while there is no connection, since the peer waits for it or would go on with
// what nobody wants.
func Answering(m Msg) bool {
	switch m.(type) {
	case *Took, *Back, *Reply, *Told, *Drop:
		return true
	default:
		return false
	}
}
