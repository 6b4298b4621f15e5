// Package fold replays the records of the log to find the revision in force.
package fold

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	Declare Kind = "declare" // a new revision by an operator
	Refresh Kind = "refresh" // a copy of the revision in force, written before the log's retention drops it
)

// Record is one entry of a service's stream.
type Record struct {
	Kind Kind   `json:"kind"`
	Base uint64 `json:"base"` // declare: the revision that it is based on
	// Found marks a declaration that starts a new history because no VM knows a revision any
	// more: it wins whatever its base. Its revision is its offset plus one, which is above every
	// earlier revision.
	Found  bool            `json:"found,omitempty"`
	Rev    uint64          `json:"rev,omitempty"`  // refresh: the revision in force
	Asof   int64           `json:"asof,omitempty"` // refresh: the last offset that its writer had applied
	Token  string          `json:"token"`          // random id of the declaration
	Author string          `json:"author"`         // the operator who declared it
	Note   string          `json:"note,omitempty"` // why
	Doc    json.RawMessage `json:"doc"`            // the whole document
}

// ErrRecord is returned for a record that can't be decoded.
var ErrRecord = errors.New("unreadable record")

// Decode decodes a record and checks its required fields.
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

// Encode encodes the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}
