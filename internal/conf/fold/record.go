// Package fold turns the log's records into the revision that is in force.
package fold

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Kind of a record.
type Kind string

// The kinds.
const (
	Declare Kind = "declare" // an operator's revision
	Refresh Kind = "refresh" // a copy of what is in force, against the log's retention
)

// Record is one entry of a service's stream.
type Record struct {
	Kind Kind   `json:"kind"`
	Base uint64 `json:"base"` // declare: the revision that it changes
	// Found starts afresh where nobody knows a revision any more: it wins whatever
	// its base, with the offset as its revision, which is above every earlier one.
	Found  bool            `json:"found,omitempty"`
	Rev    uint64          `json:"rev,omitempty"`  // refresh: the revision in force
	Asof   int64           `json:"asof,omitempty"` // refresh: every offset up to here was folded
	Token  string          `json:"token"`          // random, names the declaration
	Author string          `json:"author"`         // who declared it
	Note   string          `json:"note,omitempty"` // why
	Doc    json.RawMessage `json:"doc"`            // the whole document
}

// ErrRecord is returned for a record that can't be read.
var ErrRecord = errors.New("unreadable record")

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if r.Kind != Declare && r.Kind != Refresh {
		return Record{}, fmt.Errorf("kind %q: %w", r.Kind, ErrRecord)
	}
	if r.Token == "" || len(r.Doc) == 0 {
		return Record{}, fmt.Errorf("token or doc missing: %w", ErrRecord)
	}
	return r, nil
}

// Encode writes a record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}
