// Package winch is the public surface of dahliawinch: a client for callers, and
// the coordination parts that other programs embed.
package winch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is what became of a job.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"    // every task ran, and Results has them all
	Refused Outcome = "refused" // nothing started, and that is certain
	Failed  Outcome = "failed"  // some task started; there are no results
	Unknown Outcome = "unknown" // a start can't be excluded
)

// Need is what a task needs of an endpoint.
type Need struct {
	Cores  float64 `json:"cores,omitempty"`
	Memory float64 `json:"memory,omitempty"` // GiB
	Accels float64 `json:"accels,omitempty"`
}

// Task is one task of a job.
type Task struct {
	Body any           // any value that encodes to JSON
	Run  time.Duration // how long it is thought to run; 0 if unknown
	Need Need
}

// Job is a submission: its tasks are answered together or not at all.
type Job struct {
	Class    string
	Kind     string        // groups tasks of like run time
	Deadline time.Duration // 0 for the class's
	Ticket   string        // needed for non-idempotent classes; any answer uses it up, a refusal too
	Grant    int           // tickets wanted along with the answer
	Tasks    []Task
}

// Answer is the whole answer to a job.
type Answer struct {
	Outcome Outcome
	Reason  string
	Detail  string
	Retry   time.Duration // when to come back; 0 if it makes no sense
	Results []json.RawMessage
	Tickets []string
}

// ErrAnswer is returned for an answer that can't be read; the job's outcome is unknown.
var ErrAnswer = errors.New("unreadable answer")

// answerGrace is how much longer than the deadline the client waits.
const answerGrace = 2 * time.Second

// defaultWait is how long the client waits for a job without a deadline of its own.
const defaultWait = 3 * time.Minute

// Client submits jobs to the entry VMs behind one address. It is safe for use by
// several goroutines.
type Client struct {
	url  string
	key  string
	http *fasthttp.Client
}

// NewClient returns a client of the balancer, or of one entry VM, at an address.
func NewClient(at netip.AddrPort, key string) *Client {
	return &Client{
		url: "http://" + at.String(), key: key,
		http: &fasthttp.Client{
			MaxConnsPerHost: 1 << 16, MaxIdleConnDuration: 5 * time.Second, MaxResponseBodySize: 64 << 20,
			// A request that may have been received is never sent again by itself.
			MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

type wireTask struct {
	Body json.RawMessage `json:"body"`
	Run  string          `json:"run,omitempty"`
	Need Need            `json:"need,omitzero"`
}

type wireJob struct {
	Class    string     `json:"class"`
	Kind     string     `json:"kind,omitempty"`
	Deadline string     `json:"deadline,omitempty"`
	Ticket   string     `json:"ticket,omitempty"`
	Grant    int        `json:"grant,omitempty"`
	Tasks    []wireTask `json:"tasks"`
}

type wireAnswer struct {
	Outcome Outcome           `json:"outcome"`
	Reason  string            `json:"reason"`
	Detail  string            `json:"detail"`
	Retry   string            `json:"retry"`
	Results []json.RawMessage `json:"results"`
	Grant   string            `json:"grant"`
	Tickets int               `json:"tickets"`
}

// Submit sends a job and waits for its answer. An error means that the job was
// not sent (it could not be encoded); whatever happens after the send is told by
// the answer's outcome, Unknown when no answer came.
func (c *Client) Submit(ctx context.Context, j Job) (Answer, error) {
	out := wireJob{Class: j.Class, Kind: j.Kind, Ticket: j.Ticket, Grant: j.Grant}
	if j.Deadline != 0 {
		out.Deadline = j.Deadline.String()
	}
	for i, t := range j.Tasks {
		body, err := json.Marshal(t.Body)
		if err != nil {
			return Answer{}, fmt.Errorf("encode task %d: %w", i, err)
		}
		w := wireTask{Body: body, Need: t.Need}
		if t.Run > 0 {
			w.Run = t.Run.String()
		}
		out.Tasks = append(out.Tasks, w)
	}
	text, err := json.Marshal(out)
	if err != nil {
		return Answer{}, fmt.Errorf("encode job: %w", err)
	}
	wait := defaultWait
	if j.Deadline > 0 {
		wait = j.Deadline + answerGrace
	}
	a := c.do(ctx, fasthttp.MethodPost, "/jobs", text, wait)
	if j.Ticket != "" {
		a = doubt(a)
	}
	if a.Outcome == Done && len(a.Results) != len(j.Tasks) {
		return Answer{Outcome: Unknown, Detail: ErrAnswer.Error()}, nil
	}
	return a, nil
}

// Ask says what became of the job sent under a ticket. A ticket that was not used
// yet is used up by asking, so that "refused" stays true.
func (c *Client) Ask(ctx context.Context, ticket string) Answer {
	return doubt(c.do(ctx, fasthttp.MethodGet, "/tickets/"+ticket, nil, 10*time.Second))
}

// Cancel stops the job sent under a ticket and says what became of it.
func (c *Client) Cancel(ctx context.Context, ticket string) Answer {
	return doubt(c.do(ctx, fasthttp.MethodDelete, "/tickets/"+ticket, nil, 10*time.Second))
}

// doubt words a failed connection for what is under a ticket: nothing was sent now, but
// a copy sent before may have run, so "refused" could be a lie.
func doubt(a Answer) Answer {
	if a.Outcome == Refused && a.Reason == reasonConnect {
		a.Outcome = Unknown
	}
	return a
}

// reasonConnect says that no connection could be opened, so nothing was sent.
const reasonConnect = "connect"

// Tickets takes n tickets.
func (c *Client) Tickets(ctx context.Context, n int) ([]string, error) {
	a := c.do(ctx, fasthttp.MethodPost, "/tickets", fmt.Appendf(nil, `{"count":%d}`, n), 10*time.Second)
	if len(a.Tickets) == 0 {
		return nil, fmt.Errorf("take %d tickets: %w: %s: %s", n, ErrTicket, a.Reason, a.Detail)
	}
	return a.Tickets, nil
}

// ErrTicket is returned when no tickets were handed out.
var ErrTicket = errors.New("no tickets")

func (c *Client) do(ctx context.Context, method, path string, body []byte, wait time.Duration) Answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(c.url + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if at, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(at))
	}
	req.SetTimeout(wait)
	err := c.http.Do(req, resp)
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	var dial *fasthttp.ErrDialWithUpstream
	if errors.As(err, &dial) {
		return Answer{Outcome: Refused, Reason: reasonConnect, Detail: err.Error(), Retry: 100 * time.Millisecond}
	}
	if err != nil {
		return Answer{Outcome: Unknown, Reason: "silent", Detail: err.Error()}
	}
	return parse(resp.Body())
}

func parse(text []byte) Answer {
	var in wireAnswer
	if err := json.Unmarshal(text, &in); err != nil {
		return Answer{Outcome: Unknown, Detail: ErrAnswer.Error() + ": " + err.Error()}
	}
	a := Answer{Outcome: in.Outcome, Reason: in.Reason, Detail: in.Detail, Results: in.Results}
	if d, err := time.ParseDuration(in.Retry); err == nil {
		a.Retry = d
	}
	for i := range in.Tickets {
		a.Tickets = append(a.Tickets, in.Grant+"."+strconv.Itoa(i))
	}
	switch a.Outcome {
	case Done, Refused, Failed, Unknown:
	default:
		return Answer{Outcome: Unknown, Detail: ErrAnswer.Error()}
	}
	return a
}
