package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// step is a step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	Mem      int    `json:"mem_mb"`
	Estimate int    `json:"estimate_ms"`
	After    []int  `json:"after,omitempty"`
	Gang     bool   `json:"gang,omitempty"`
	Requires string `json:"requires,omitempty"`
}

// job is a client's job, whose POST is answered when it has ended.
type job struct {
	id    string
	queue string
	spec  work
	steps []step
}

func newJob(queue string, spec work, steps ...step) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), queue: queue, spec: spec, steps: steps}
}

// answer is the end of a client's request; the status is 0 if there was no answer.
type answer struct {
	status int
	body   string
	at     time.Time
}

// answerGrace is how long after its deadline a client keeps its channel.
const answerGrace = time.Second

// post submits a job at a machine and waits for the answer.
func (d *deployment) post(m *machine, j *job, deadline time.Duration) answer {
	spec, err := json.Marshal(j.spec)
	if err != nil {
		panic(err) // plain values
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "best_effort": true, "steps": j.steps})
	if err != nil {
		panic(err) // plain values
	}
	d.rec.add("POST %s%s at %s, deadline %s: %s", j.queue, j.id, m.zone, deadline, body)
	a := d.request(http.MethodPost, m, j, body, deadline)
	d.rec.add("answer to POST %s: %d %s", j.id, a.status, a.body)
	return a
}

// cancel cancels a job at a machine.
func (d *deployment) cancel(m *machine, j *job) answer {
	d.rec.add("DELETE %s%s at %s", j.queue, j.id, m.zone)
	a := d.request(http.MethodDelete, m, j, nil, answerGrace)
	d.rec.add("answer to DELETE %s: %d %s", j.id, a.status, a.body)
	return a
}

func (d *deployment) request(method string, m *machine, j *job, body []byte, deadline time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+m.caller+j.queue+j.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // a fixed form
	}
	req.Host = queueHost
	req.Header.Set("Dahliawinch-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c := http.Client{Timeout: deadline + answerGrace, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return answer{body: err.Error(), at: time.Now()}
	}
	defer resp.Body.Close() //nolint:errcheck // it was read
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{body: err.Error(), at: time.Now()}
	}
	return answer{resp.StatusCode, string(text), time.Now()}
}
