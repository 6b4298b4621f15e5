// Package winch is the public API of dahliawinch: a client for callers, and
// coordination components that other programs can embed.
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

// Outcome is the final state of a job.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"    // every task ran; Results has a result for each
	Refused Outcome = "refused" // certainly no task was started
	Failed  Outcome = "failed"  // at least one task started; there are no results
	Unknown Outcome = "unknown" // tasks may have started
)

// Need is the capacity that a task needs on an endpoint.
type Need struct {
	Cores  float64 `json:"cores,omitempty"`
	Memory float64 `json:"memory,omitempty"` // GiB
	Accels float64 `json:"accels,omitempty"`
}

// Task is one task of a job.
type Task struct {
	Body any           // any value that encodes to JSON
	Run  time.Duration // estimated run time; 0 if unknown
	Need Need
}

// Job is a submission; its tasks are answered together or not at all.
type Job struct {
	Class    string
	Kind     string        // groups tasks with similar run times
	Deadline time.Duration // 0 means the deadline of the class
	Ticket   string        // required for non-idempotent classes; any answer uses it up, even a refusal
	Grant    int           // number of tickets to return with the answer
	Tasks    []Task
}

// Answer is the complete answer to a job.
type Answer struct {
	Outcome Outcome
	Reason  string
	Detail  string
	Retry   time.Duration // when to retry; 0 if a retry makes no sense
	Results []json.RawMessage
	Tickets []string
}

// ErrAnswer is returned for an answer that can't be read; the job's outcome is unknown.
var ErrAnswer = errors.New("unreadable answer")

// answerGrace is how long the client waits beyond a job's deadline.
const answerGrace = 2 * time.Second

// defaultTimeout is how long the client waits for a job without its own deadline.
const defaultTimeout = 3 * time.Minute

// Client submits jobs to the entry VMs behind one address. It is safe for use by
// several goroutines.
type Client struct {
	url  string
	key  string
	http *fasthttp.Client
}

// NewClient returns a client for the address of the balancer or of one entry VM.
func NewClient(at netip.AddrPort, key string) *Client {
	return &Client{
		url: "http://" + at.String(), key: key,
		http: &fasthttp.Client{
			MaxConnsPerHost: 1 << 16, MaxIdleConnDuration: 5 * time.Second, MaxResponseBodySize: 64 << 20,
			// Never resend automatically a request that may have been received.
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

// Submit sends a job and waits for its answer. An error means that the job could not
// be encoded and was not sent; whatever happens after that is in the answer's outcome,
// which is Unknown if no answer came.
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
	timeout := defaultTimeout
	if j.Deadline > 0 {
		timeout = j.Deadline + answerGrace
	}
	a := c.do(ctx, fasthttp.MethodPost, "/jobs", text, timeout)
	if j.Ticket != "" {
		a = unknownIfUnsent(a)
	}
	if a.Outcome == Done && len(a.Results) != len(j.Tasks) {
		return Answer{Outcome: Unknown, Detail: ErrAnswer.Error()}, nil
	}
	return a, nil
}

// Ask returns the answer to the job sent with a ticket. It uses up a ticket that was
// not used yet, so that the answer "refused" stays true.
func (c *Client) Ask(ctx context.Context, ticket string) Answer {
	return unknownIfUnsent(c.do(ctx, fasthttp.MethodGet, "/tickets/"+ticket, nil, 10*time.Second))
}

// Cancel stops the job sent with a ticket and returns its answer.
func (c *Client) Cancel(ctx context.Context, ticket string) Answer {
	return unknownIfUnsent(c.do(ctx, fasthttp.MethodDelete, "/tickets/"+ticket, nil, 10*time.Second))
}

// unknownIfUnsent changes the outcome of a failed connection to Unknown for a request with
// a ticket: nothing was sent now, but a copy sent before may have run.
func unknownIfUnsent(a Answer) Answer {
	if a.Outcome == Refused && a.Reason == reasonConnect {
		a.Outcome = Unknown
	}
	return a
}

// reasonConnect means that no connection could be opened, so nothing was sent.
const reasonConnect = "connect"

// Tickets requests n tickets.
func (c *Client) Tickets(ctx context.Context, n int) ([]string, error) {
	a := c.do(ctx, fasthttp.MethodPost, "/tickets", fmt.Appendf(nil, `{"count":%d}`, n), 10*time.Second)
	if len(a.Tickets) == 0 {
		return nil, fmt.Errorf("take %d tickets: %w: %s: %s", n, ErrTicket, a.Reason, a.Detail)
	}
	return a.Tickets, nil
}

// ErrTicket is returned when no tickets were issued.
var ErrTicket = errors.New("no tickets")

func (c *Client) do(ctx context.Context, method, path string, body []byte, timeout time.Duration) Answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(c.url + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if at, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(at))
	}
	req.SetTimeout(timeout)
	err := c.http.Do(req, resp)
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	var dialErr *fasthttp.ErrDialWithUpstream
	if errors.As(err, &dialErr) {
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
