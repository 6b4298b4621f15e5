// Package fakes has small stand-ins for what the system meets: endpoints, the
// log, the list. Each has a core that works in virtual time and a thin HTTP face.
package fakes

import (
	"encoding/json"
	"fmt"

	"dahliawinch/internal/conf/valid"
)

// Task is the body of a task that the endpoint stand-in understands.
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

// Witness sees every start of a task; the checker implements it.
type Witness interface {
	Started(job string, task int)
}
