// Package call serves the HTTP API that callers use on an entry VM, with JSON bodies.
package call

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/task/job"
)

// Job is the request body of a job submission.
type Job struct {
	Class    string     `json:"class"`
	Kind     string     `json:"kind,omitempty"`
	Deadline valid.Span `json:"deadline,omitempty"`
	Ticket   string     `json:"ticket,omitempty"`
	Grant    int        `json:"grant,omitempty"`
	Tasks    []Task     `json:"tasks"`
}

// Task is one task of a submitted job.
type Task struct {
	Body json.RawMessage `json:"body"`
	Run  valid.Span      `json:"run,omitempty"`
	Need job.Size        `json:"need,omitzero"`
}

// Answer is the response body for jobs and tickets.
type Answer struct {
	Outcome string            `json:"outcome"`
	Reason  job.Reason        `json:"reason,omitempty"`
	Detail  string            `json:"detail,omitempty"`
	Retry   valid.Span        `json:"retry,omitempty"`
	Results []json.RawMessage `json:"results,omitempty"`
	Grant   string            `json:"grant,omitempty"`
	Tickets int               `json:"tickets,omitempty"`
}

// request converts the body into a tenant's job request.
func (j *Job) request(tenant string) *job.Request {
	r := &job.Request{
		Tenant: tenant, Class: j.Class, Kind: j.Kind, Ticket: j.Ticket,
		TimeLeft: j.Deadline.Std(), Grant: j.Grant, Tasks: make([]job.Task, len(j.Tasks)),
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		r.Tasks[i] = job.Task{Need: t.Need, Run: max(0, t.Run.Std()), Body: t.Body}
	}
	return r
}

// decodeJob parses and validates a submission. The length of the kind is limited
// because it goes into metrics and is kept in memory.
func decodeJob(text []byte) (*Job, *job.Answer) {
	j := &Job{}
	if err := valid.DecodeStrict(text, j); err != nil {
		p := valid.JSONProblem("body", err)
		return nil, job.Refuse(job.BadRequest, 0, "%s", p)
	}
	if len(j.Kind) > maxKindLen {
		return nil, job.Refuse(job.BadRequest, 0, "kind: %d characters; use at most %d", len(j.Kind), maxKindLen)
	}
	for i := range j.Tasks {
		n := j.Tasks[i].Need
		if n.Cores < 0 || n.Memory < 0 || n.Accels < 0 {
			return nil, job.Refuse(job.BadRequest, 0, "tasks[%d].need: is negative; leave it out if nothing is needed", i)
		}
		if len(j.Tasks[i].Body) == 0 {
			return nil, job.Refuse(job.BadRequest, 0, "tasks[%d].body: is missing; send any JSON value", i)
		}
	}
	return j, nil
}

const maxKindLen = 64 // in bytes

// statusCode returns the HTTP status of an answer; no two outcomes share a code.
func statusCode(a *job.Answer) int {
	switch a.Outcome {
	case job.Done:
		return fasthttp.StatusOK
	case job.Failed:
		return fasthttp.StatusBadGateway
	case job.Unknown:
		return fasthttp.StatusGatewayTimeout
	case job.Refused:
	}
	switch a.Reason {
	case job.BadRequest:
		return fasthttp.StatusBadRequest
	case job.BadKey:
		return fasthttp.StatusUnauthorized
	case job.BadTicket, job.Withdrawn:
		return fasthttp.StatusConflict
	case job.Impossible:
		return fasthttp.StatusRequestEntityTooLarge
	case job.Quota, job.Paused:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// writeAnswer encodes an answer as the HTTP response.
func writeAnswer(ctx *fasthttp.RequestCtx, a *job.Answer) {
	out := Answer{
		Outcome: a.Outcome.String(), Reason: a.Reason, Detail: a.Detail, Retry: valid.Span(a.Retry),
		Grant: a.Grant, Tickets: a.Tickets,
	}
	for _, r := range a.Results {
		if !json.Valid(r) {
			quoted, err := json.Marshal(string(r))
			if err != nil {
				quoted = []byte("null")
			}
			r = quoted
		}
		out.Results = append(out.Results, r)
	}
	text, err := json.Marshal(&out)
	if err != nil { // not caused by the results, which are valid JSON by now
		ctx.Error(fmt.Sprintf(`{"outcome":"failed","detail":%q}`, err), fasthttp.StatusBadGateway)
		return
	}
	ctx.SetStatusCode(statusCode(a))
	ctx.SetContentType("application/json")
	if a.Retry > 0 {
		seconds := (a.Retry + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, fmt.Sprint(int64(seconds)))
	}
	ctx.SetBody(text)
}
