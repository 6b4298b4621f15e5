// Package doc defines the declared document of a service: its types and its
// validator, which console, command line and daemon share.
package doc

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"dahliawinch/internal/task/job"

	"dahliawinch/internal/conf/valid"
)

// Document is the configuration that operators declare for one service.
type Document struct {
	Service   string            `json:"service"`
	Classes   map[string]Class  `json:"classes"`
	Tenants   map[string]Tenant `json:"tenants"`
	Endpoints Endpoints         `json:"endpoints"`
	Limits    Limits            `json:"limits"`
	Reserve   float64           `json:"reserve"` // share of the slots kept for urgent work
	// Patience is how long routine work may wait for a VM's own slots before it is given to
	// other VMs, which costs messages; bulk work waits longer, urgent work not at all.
	Patience valid.Span `json:"patience"`
}

// Class sets how the jobs that name it are treated.
type Class struct {
	Band     job.Band   `json:"band"`
	Deadline valid.Span `json:"deadline"`       // default for jobs that set none
	Once     bool       `json:"once,omitempty"` // non-idempotent: jobs need a ticket
	Hold     valid.Span `json:"hold,omitempty"` // how long an answer may be replayed
}

// Tenant is a client account with its share and quota.
type Tenant struct {
	Weight float64  `json:"weight"`
	Rate   float64  `json:"rate,omitempty"`  // task starts per second over all VMs, 0 for no limit
	Slots  int      `json:"slots,omitempty"` // slots at once over all VMs, 0 for no limit
	Keys   []string `json:"keys"`            // SHA-256 of caller keys, in hex
	Paused bool     `json:"paused,omitempty"`
}

// Endpoints selects which of the platform's endpoints are used.
type Endpoints struct {
	Domains []string         `json:"domains,omitempty"` // failure domains; empty for all
	Drain   []netip.AddrPort `json:"drain,omitempty"`   // endpoints that get no new work
}

// Limits bound one submission.
type Limits struct {
	Tasks    int        `json:"tasks"`
	Bytes    int64      `json:"bytes"`
	Deadline valid.Span `json:"deadline"` // longest deadline that a job may set
}

// Bounds of what a document may declare.
const (
	MaxTasks   = 520
	MaxBytes   = 16 << 20
	MaxTenants = 490
	MaxClasses = 32
	MaxKeys    = 8
	keyHexLen  = 64
	MaxText    = 1 << 20
)

// Parse decodes and validates a document.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxText {
		return nil, valid.NewError(valid.NewProblem("document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("keep it under %d", MaxText)))
	}
	if ps := checkSchema(text); len(ps) > 0 {
		return nil, valid.NewError(ps...)
	}
	d := &Document{}
	if err := valid.DecodeStrict(text, d); err != nil {
		return nil, valid.NewError(valid.JSONProblem("document", err))
	}
	if ps := d.Check(); len(ps) > 0 {
		return nil, valid.NewError(ps...)
	}
	return d, nil
}

// Encode returns the document in its published form.
func (d *Document) Encode() ([]byte, error) {
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return text, nil
}
