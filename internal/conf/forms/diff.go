package forms

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Change is one field that differs between two documents.
type Change struct {
	Field string `json:"field"`
	Was   string `json:"was"` // empty if it was not there
	Now   string `json:"now"` // empty if it is not there any more
}

func (c Change) String() string {
	switch {
	case c.Was == "":
		return fmt.Sprintf("+ %s %s", c.Field, c.Now)
	case c.Now == "":
		return fmt.Sprintf("- %s %s", c.Field, c.Was)
	default:
		return fmt.Sprintf("~ %s %s -> %s", c.Field, c.Was, c.Now)
	}
}

// Diff lists what differs between two documents, by field.
func Diff(was, now json.RawMessage) ([]Change, error) {
	a, b := map[string]string{}, map[string]string{}
	for _, side := range []struct {
		text json.RawMessage
		into map[string]string
	}{{was, a}, {now, b}} {
		if len(side.text) == 0 {
			continue
		}
		var v any
		if err := json.Unmarshal(side.text, &v); err != nil {
			return nil, fmt.Errorf("diff: %w", err)
		}
		flatten("", v, side.into)
	}
	fields := maps.Clone(a)
	maps.Copy(fields, b)
	var changes []Change
	for _, f := range slices.Sorted(maps.Keys(fields)) {
		if a[f] != b[f] {
			changes = append(changes, Change{f, a[f], b[f]})
		}
	}
	return changes, nil
}

func flatten(at string, v any, into map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(dot(at, k), x, into)
		}
	case []any:
		for i, x := range v {
			flatten(at+"["+strconv.Itoa(i)+"]", x, into)
		}
	default:
		into[at] = fmt.Sprint(v)
	}
}

func dot(at, k string) string {
	if at == "" {
		return k
	}
	return at + "." + k
}
