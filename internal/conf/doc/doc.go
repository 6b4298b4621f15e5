// Package doc is the one declared document of a service: its types, its defaults
// and its validator, which console, command line and daemon share.
package doc

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"dahliawinch/internal/task/job"

	"dahliawinch/internal/conf/valid"
)

// Document is what operators declare for one service.
type Document struct {
	Service   string            `json:"service"`
	Classes   map[string]Class  `json:"classes"`
	Tenants   map[string]Tenant `json:"tenants"`
	Endpoints Endpoints         `json:"endpoints"`
	Limits    Limits            `json:"limits"`
	Reserve   float64           `json:"reserve"` // part of the slots kept for urgent work
	// Patience is how long routine work may wait in its failure domain rather than
	// cost messages to others; bulk work waits longer, urgent work not at all.
	Patience valid.Span `json:"patience"`
}

// Class is a way to treat jobs.
type Class struct {
	Band     job.Band   `json:"band"`
	Deadline valid.Span `json:"deadline"`       // of jobs that name none
	Once     bool       `json:"once,omitempty"` // non-idempotent: a ticket is needed
	Hold     valid.Span `json:"hold,omitempty"` // how long an answer may be given again
}

// Tenant is a team with its share.
type Tenant struct {
	Weight float64  `json:"weight"`
	Rate   float64  `json:"rate,omitempty"`  // task starts per second over all VMs, 0 for no limit
	Slots  int      `json:"slots,omitempty"` // slots at once over all VMs, 0 for no limit
	Keys   []string `json:"keys"`            // SHA-256 of caller keys, in hex
	Paused bool     `json:"paused,omitempty"`
}

// Endpoints selects which of the platform's endpoints serve.
type Endpoints struct {
	Domains []string         `json:"domains,omitempty"` // failure domains; empty for all
	Drain   []netip.AddrPort `json:"drain,omitempty"`   // get no new work
}

// Limits bound a submission.
type Limits struct {
	Tasks    int        `json:"tasks"`
	Bytes    int64      `json:"bytes"`
	Deadline valid.Span `json:"deadline"` // the longest that a job may ask for
}

// Bounds of what a document may declare.
const (
	MostTasks   = 520
	MostBytes   = 16 << 20
	MostTenants = 490
	MostClasses = 32
	MostKeys    = 8
	keyHex      = 64
	MaxText     = 1 << 20
)

// Parse reads and validates a document.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxText {
		return nil, valid.Invalid(valid.Bad("document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("keep it under %d", MaxText)))
	}
	if ps := shape(text); len(ps) > 0 {
		return nil, valid.Invalid(ps...)
	}
	d := &Document{}
	if err := valid.Strict(text, d); err != nil {
		return nil, valid.Invalid(valid.JSONProblem("document", err))
	}
	if ps := d.Check(); len(ps) > 0 {
		return nil, valid.Invalid(ps...)
	}
	return d, nil
}

// Encode writes the document as it is published.
func (d *Document) Encode() ([]byte, error) {
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return text, nil
}
