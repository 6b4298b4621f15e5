package forms

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Change is a field that differs between two documents.
type Change struct {
	Field string `json:"field"`
	Was   string `json:"was"` // empty if the field was added
	Now   string `json:"now"` // empty if the field was removed
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

// Diff returns the fields that differ between two documents, sorted.
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

func flatten(path string, v any, into map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(joinPath(path, k), x, into)
		}
	case []any:
		for i, x := range v {
			flatten(path+"["+strconv.Itoa(i)+"]", x, into)
		}
	default:
		into[path] = fmt.Sprint(v)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
