// Package ledger is the client of the platform's append-only log.
package ledger

import (
	"context"
	"errors"
	"time"
)

// Log is one stream of the platform's log.
type Log interface {
	// Append adds a record and returns its offset. After ErrUnsure the record may
	// or may not have been appended.
	Append(ctx context.Context, data []byte) (offset int64, err error)
	// Read returns records from an offset on, blocking up to wait for the first.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Page is a contiguous sequence of records.
type Page struct {
	First   int64    `json:"first"` // the oldest offset that the log still has
	From    int64    `json:"from"`  // the offset of Records[0]
	Records [][]byte `json:"records"`
}

// Errors of a Log.
var (
	ErrUnsure = errors.New("append without an answer: it may have taken effect")
	ErrDown   = errors.New("log unavailable: nothing was appended")
	ErrBusy   = errors.New("log over its append rate: nothing was appended")
)
