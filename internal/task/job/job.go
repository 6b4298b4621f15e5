// Package job defines the types shared along a request's path: what a caller
// submits and what it is answered.
package job

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Band is the scheduling rank of a class; a more urgent band never waits behind a less urgent one.
type Band uint8

// The bands, most urgent first.
const (
	Urgent Band = iota
	Routine
	Bulk
	Bands = 3
)

var bandNames = [Bands]string{"urgent", "routine", "bulk"}

func (b Band) String() string {
	if b >= Bands {
		return fmt.Sprintf("band(%d)", uint8(b))
	}
	return bandNames[b]
}

// MarshalText writes the band by name.
func (b Band) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText reads the band by name.
func (b *Band) UnmarshalText(text []byte) error {
	for i, name := range bandNames {
		if name == string(text) {
			*b = Band(i)
			return nil
		}
	}
	return fmt.Errorf("band %q is not one of %s", text, strings.Join(bandNames[:], ", "))
}

// Size is what a task needs of an endpoint, or what an endpoint has.
type Size struct {
	Cores  float64 `json:"cores,omitempty" msgpack:"c,omitempty"`
	Memory float64 `json:"memory,omitempty" msgpack:"m,omitempty"` // GiB
	Accels float64 `json:"accels,omitempty" msgpack:"a,omitempty"`
}

// Fits reports whether s can run on an endpoint of size in.
func (s Size) Fits(in Size) bool {
	return s.Cores <= in.Cores && s.Memory <= in.Memory && s.Accels <= in.Accels
}

// Task is one unit of parallel work; it runs on one endpoint, at most once.
type Task struct {
	Need Size          `msgpack:"n,omitempty"`
	Run  time.Duration `msgpack:"r,omitempty"` // declared run time, 0 if unknown
	Body []byte        `msgpack:"b,omitempty"`
}

// Request is a submission of tasks that are answered together or not at all.
type Request struct {
	Tenant   string        `msgpack:"t"`
	Class    string        `msgpack:"c"`
	Kind     string        `msgpack:"k"` // groups tasks of similar run time
	Ticket   string        `msgpack:"i,omitempty"`
	TimeLeft time.Duration `msgpack:"l,omitempty"` // time left until the answer is useless
	Grant    int           `msgpack:"g,omitempty"` // number of tickets to issue with the answer
	Tasks    []Task        `msgpack:"x"`
}

// Bytes returns the total size of the task bodies.
func (r *Request) Bytes() int64 {
	var n int64
	for i := range r.Tasks {
		n += int64(len(r.Tasks[i].Body))
	}
	return n
}

// Outcome is the result of a submission.
type Outcome uint8

// The four outcomes. Unknown must never be reported as Refused: after "refused" a caller
// may submit again at once, after "unknown" it must query its ticket.
const (
	Unknown Outcome = iota // a start can't be excluded
	Done                   // every task ran and all results are present
	Refused                // nothing started, and that is certain
	Failed                 // some task started; no partial results are returned
)

var outcomeNames = [...]string{"unknown", "done", "refused", "failed"}

func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

// ParseOutcome returns the outcome with the given name.
func ParseOutcome(s string) (Outcome, error) {
	for i, name := range outcomeNames {
		if name == s {
			return Outcome(i), nil
		}
	}
	return Unknown, fmt.Errorf("outcome %q is not one of %s", s, strings.Join(outcomeNames[:], ", "))
}

// Reason is a one-word code for why a submission was not done.
type Reason string

// The reasons, each with what a caller can do about it in docs/CALLERS.md.
const (
	NoReason    Reason = ""
	BadRequest  Reason = "request"   // malformed; the caller must correct it
	BadKey      Reason = "key"       // key missing or wrong
	BadTicket   Reason = "ticket"    // forged, of another tenant, or malformed
	Impossible  Reason = "size"      // more than any endpoint has, or over a limit
	Quota       Reason = "quota"     // the tenant's share is used up
	Paused      Reason = "paused"    // the operators paused the tenant
	Overload    Reason = "overload"  // it would not finish in time
	Deadline    Reason = "deadline"  // its time ran out
	Canceled    Reason = "cancelled" // the caller cancelled or disconnected
	TaskFailed  Reason = "task"      // a task ran and failed
	Silent      Reason = "silent"    // an endpoint or VM stopped answering after a send
	NoEndpoint  Reason = "endpoint"  // none is reachable
	NoDocument  Reason = "document"  // no configuration is known yet
	Leaving     Reason = "leaving"   // this VM is shutting down
	GoneTicket  Reason = "gone"      // the ticket's VM can't be reached
	NotHeld     Reason = "held"      // it ran, and its answer is no longer held
	StillRuns   Reason = "running"   // the same submission is still running
	Withdrawn   Reason = "withdrawn" // its ticket was queried before its use
	OutOfBudget Reason = "retries"   // too many refused attempts
	NoQueue     Reason = "queue"     // no such queue is declared
	Unsupported Reason = "kind"      // this kind of job is not served here
)

// Answer is the complete answer to one submission.
type Answer struct {
	Outcome Outcome       `msgpack:"o"`
	Reason  Reason        `msgpack:"r,omitempty"`
	Detail  string        `msgpack:"d,omitempty"`
	Retry   time.Duration `msgpack:"w,omitempty"` // when to retry; 0 if retrying is useless
	Results [][]byte      `msgpack:"x,omitempty"`
	Grant   string        `msgpack:"g,omitempty"`
	Tickets int           `msgpack:"n,omitempty"`
}

// Refuse returns an answer with outcome Refused, for work of which nothing started.
func Refuse(why Reason, retry time.Duration, format string, args ...any) *Answer {
	return &Answer{Outcome: Refused, Reason: why, Retry: retry, Detail: fmt.Sprintf(format, args...)}
}

// UnknownAnswer returns an answer with outcome Unknown, for work that may have started.
func UnknownAnswer(why Reason, format string, args ...any) *Answer {
	return &Answer{Outcome: Unknown, Reason: why, Detail: fmt.Sprintf(format, args...)}
}

// ErrPartial is returned for a done answer that lacks results.
var ErrPartial = errors.New("answer lacks results")

// Whole checks that a done answer has one result for each of n tasks.
func (a *Answer) Whole(n int) error {
	if a.Outcome == Done && len(a.Results) != n {
		return fmt.Errorf("%d results for %d tasks: %w", len(a.Results), n, ErrPartial)
	}
	return nil
}
