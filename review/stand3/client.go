package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/task/job"
)

// step is one step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu,omitempty"` // thousandths of a core
	Mem      int    `json:"mem_mb,omitempty"`
	Estimate int    `json:"estimate_ms,omitempty"`
	Requires string `json:"requires,omitempty"`
}

// submission is a client's job.
type submission struct {
	id   string
	body []byte
}

var serial atomic.Uint64

// newJob makes a job whose tasks run for as long as estimated.
func (g *rig) newJob(steps ...step) submission {
	id := fmt.Sprintf("%08x%08x", uint32(g.began.Unix()), uint32(0xa0000000+serial.Add(1)))
	for i, s := range steps {
		need := job.Size{Cores: float64(s.CPU) / 1000, Memory: float64(s.Mem) / 1024}
		g.ledger.expect(id, i, fakes.Work{Need: need, Run: time.Duration(s.Estimate) * time.Millisecond})
	}
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "best_effort": true, "steps": steps})
	if err != nil {
		panic(err) // plain values
	}
	return submission{id, body}
}

// channel is a client's connection to a daemon.
type channel struct {
	g  *rig
	v  *vm
	c  net.Conn
	in *bufio.Reader
}

func (g *rig) dial(v *vm) (*channel, error) {
	c, err := net.DialTimeout("tcp", v.caller.String(), time.Second)
	if err != nil {
		return nil, fmt.Errorf("open channel: %w", err)
	}
	return &channel{g: g, v: v, c: c, in: bufio.NewReader(c)}, nil
}

// answer is the response to a request; status 0 if the channel ended without a complete one.
type answer struct {
	status int
	body   string
	err    error
	sent   time.Time // when the last byte of the request was sent
	at     time.Time
}

// waited returns how long after its last byte was sent the answer or the channel's end came.
func (a answer) waited() time.Duration { return a.at.Sub(a.sent) }

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %s: %v", a.waited().Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d after %s %s", a.status, a.waited().Round(time.Millisecond), strings.TrimSpace(a.body))
}

// post hands in a job and waits for the response.
func (c *channel) post(path string, body []byte, deadline time.Duration) (a answer) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nDahliawinch-Deadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		path, host, deadline.Milliseconds(), len(body))
	c.g.note("send POST %s to %s deadline %s", path, c.v.name, deadline)
	_, a.err = c.c.Write(append([]byte(head), body...))
	a.sent = time.Now()
	if a.err == nil {
		_ = c.c.SetReadDeadline(a.sent.Add(deadline + 2*time.Second)) // a socket takes deadlines
		a.status, a.body, a.err = c.read()
	}
	a.at = time.Now()
	c.g.note("answer to POST %s from %s: %s", path, c.v.name, a)
	return a
}

func (c *channel) read() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", fmt.Errorf("read answer: %w", err)
	}
	defer resp.Body.Close() //nolint:errcheck // read whole below
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, string(text), nil
}

func (c *channel) close() { _ = c.c.Close() }

// post hands in a job on a channel of its own.
func (g *rig) post(v *vm, path string, body []byte, deadline time.Duration) answer {
	c, err := g.dial(v)
	if err != nil {
		return answer{err: err, sent: time.Now(), at: time.Now()}
	}
	defer c.close()
	return c.post(path, body, deadline)
}
