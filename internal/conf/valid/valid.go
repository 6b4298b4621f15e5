// Package valid holds what documents and settings share for validation: durations as text,
// strict JSON, and problems that name the field, what is wrong and how to fix it.
package valid

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Span is a duration written as text, such as "750ms" or "2s".
type Span time.Duration

// Std returns the span as a time.Duration.
func (s Span) Std() time.Duration { return time.Duration(s) }

// MarshalText writes the span in the format of time.Duration.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses a Go duration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write it like 750ms or 2s", text)
	}
	*s = Span(d)
	return nil
}

// Problem is one thing wrong with a document or settings, and how to fix it.
type Problem struct {
	Field string `json:"field"`
	Wrong string `json:"wrong"`
	Fix   string `json:"mend"`
}

// NewProblem returns a problem.
func NewProblem(field, wrong, fix string) Problem { return Problem{field, wrong, fix} }

func (p Problem) String() string { return fmt.Sprintf("%s: %s; %s", p.Field, p.Wrong, p.Fix) }

// Error lists the problems of an invalid document or settings.
type Error struct{ Problems []Problem }

// NewError returns the error for some problems.
func NewError(ps ...Problem) *Error { return &Error{ps} }

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ErrTrailing is returned for text after the end of a JSON value.
var ErrTrailing = errors.New("more text after the end")

// DecodeStrict decodes one JSON value and rejects unknown fields and trailing text.
func DecodeStrict(text []byte, into any) error {
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

// JSONProblem returns the problem for an error of DecodeStrict; root names the whole value.
func JSONProblem(root string, err error) Problem {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		field := typed.Field
		if field == "" {
			field = root
		}
		return Problem{field, "is a " + typed.Value, "write a " + typed.Type.String()}
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return Problem{strings.Trim(name, `"`), "is not a known field", "remove it, or mend its spelling"}
	}
	return Problem{root, strings.TrimPrefix(err.Error(), "decode JSON: "), "mend the JSON"}
}
