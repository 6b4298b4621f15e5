// Package doc is the one declared document of a service: its types, its defaults
// and its validator, which console, command line and daemon share.
package doc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"dahliawinch/internal/task/job"
)

// Span is a duration written as text, such as "750ms" or "2s".
type Span time.Duration

// Std returns the span as a time.Duration.
func (s Span) Std() time.Duration { return time.Duration(s) }

// MarshalText writes the span as Go durations are written.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText reads a Go duration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write it like 750ms or 2s", text)
	}
	*s = Span(d)
	return nil
}

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
	Patience Span `json:"patience"`
}

// Class is a way to treat jobs.
type Class struct {
	Band     job.Band `json:"band"`
	Deadline Span     `json:"deadline"`       // of jobs that name none
	Once     bool     `json:"once,omitempty"` // non-idempotent: a ticket is needed
	Hold     Span     `json:"hold,omitempty"` // how long an answer may be given again
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
	Tasks    int   `json:"tasks"`
	Bytes    int64 `json:"bytes"`
	Deadline Span  `json:"deadline"` // the longest that a job may ask for
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

// Problem is one thing wrong with a document, and how to mend it.
type Problem struct {
	Field string `json:"field"`
	Wrong string `json:"wrong"`
	Mend  string `json:"mend"`
}

func (p Problem) String() string { return fmt.Sprintf("%s: %s; %s", p.Field, p.Wrong, p.Mend) }

// InvalidError is the error for a document with problems.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads and validates a document.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxText {
		return nil, &InvalidError{[]Problem{{"document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("keep it under %d", MaxText)}}}
	}
	if ps := shape(text); len(ps) > 0 {
		return nil, &InvalidError{ps}
	}
	d := &Document{}
	if err := Strict(text, d); err != nil {
		return nil, &InvalidError{[]Problem{jsonProblem("document", err)}}
	}
	if ps := d.Check(); len(ps) > 0 {
		return nil, &InvalidError{ps}
	}
	return d, nil
}

// ErrTrailing is returned for text after the end of a JSON value.
var ErrTrailing = errors.New("more text after the end")

// Strict decodes one JSON value and refuses unknown fields and trailing text.
func Strict(text []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("decode JSON: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailing
	}
	return nil
}

// jsonProblem turns a decoding error into one that names the field.
func jsonProblem(whole string, err error) Problem {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		field := typed.Field
		if field == "" {
			field = whole
		}
		return Problem{field, "is a " + typed.Value, "write a " + typed.Type.String()}
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return Problem{strings.Trim(name, `"`), "is not a known field", "remove it, or mend its spelling"}
	}
	return Problem{whole, strings.TrimPrefix(err.Error(), "decode JSON: "), "mend the JSON"}
}

// JSONProblem names the field and the mend for an error of Strict.
func JSONProblem(whole string, err error) Problem { return jsonProblem(whole, err) }

// Encode writes the document as it is published.
func (d *Document) Encode() ([]byte, error) {
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return text, nil
}
