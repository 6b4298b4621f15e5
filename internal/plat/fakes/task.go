// Package fakes has small fakes of the platform's parts: endpoints, the log, the list.
// They work in virtual time; some can also be served over HTTP.
package fakes

import (
	"encoding/json"
	"fmt"

	"dahliawinch/internal/conf/valid"
)

// Task is the body of a task that the fake endpoint understands.
type Task struct {
	Job  string     `json:"job"`
	Task int        `json:"task"`
	Run  valid.Span `json:"run"`
	Fail bool       `json:"fail,omitempty"`
}

// Encode writes the task as a body.
func (t Task) Encode() []byte {
	body, err := json.Marshal(t)
	if err != nil {
		panic(fmt.Sprintf("encode a plain struct: %v", err))
	}
	return body
}

// Done is the result of a task that ran.
type Done struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
}

// Witness is notified of every start of a task; the checker implements it.
type Witness interface {
	Started(job string, task int)
}
