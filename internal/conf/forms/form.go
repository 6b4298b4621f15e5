// Package forms holds the short forms with which operators change a document; each
// changes one thing. The console and the command line share them.
package forms

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"dahliawinch/internal/conf/doc"
	"dahliawinch/internal/task/job"
)

// Field is one input of a form.
type Field struct {
	Name string
	Help string
	// Choices returns the allowed values; nil for free input.
	Choices func(*doc.Document) []string
	// Optional reports whether the field may be empty.
	Optional bool
}

// Form changes one thing in a document.
type Form struct {
	Name   string
	Title  string
	Fields []Field
	apply  func(d *doc.Document, v Values) error
}

// Values holds a form's inputs by field name.
type Values map[string]string

// Errors of forms.
var (
	ErrForm  = errors.New("no such form")
	ErrField = errors.New("field")
)

// All holds the forms in the order of the console.
var All = []Form{pause, resume, share, quota, class, drain, undrain, reserve}

// Find returns a form by name.
func Find(name string) (Form, error) {
	for _, f := range All {
		if f.Name == name {
			return f, nil
		}
	}
	return Form{}, fmt.Errorf("%w: %q; there are %s", ErrForm, name, strings.Join(Names(), ", "))
}

// Names returns the forms' names.
func Names() []string {
	names := make([]string, len(All))
	for i, f := range All {
		names[i] = f.Name
	}
	return names
}

// Apply returns a changed copy of the document. The copy is not validated here, but
// like any other document when it is declared.
func (f Form) Apply(d *doc.Document, v Values) (*doc.Document, error) {
	for _, in := range f.Fields {
		if strings.TrimSpace(v[in.Name]) == "" && !in.Optional {
			return nil, fmt.Errorf("%w %s: is empty; %s", ErrField, in.Name, in.Help)
		}
	}
	for name := range v {
		if !slices.ContainsFunc(f.Fields, func(in Field) bool { return in.Name == name }) {
			return nil, fmt.Errorf("%w %s: is not of form %s", ErrField, name, f.Name)
		}
	}
	next, err := clone(d)
	if err != nil {
		return nil, err
	}
	if err := f.apply(next, v); err != nil {
		return nil, err
	}
	return next, nil
}

func clone(d *doc.Document) (*doc.Document, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("copy document: %w", err)
	}
	next := &doc.Document{}
	if err := json.Unmarshal(text, next); err != nil {
		return nil, fmt.Errorf("copy document: %w", err)
	}
	return next, nil
}

func tenants(d *doc.Document) []string { return slices.Sorted(maps.Keys(d.Tenants)) }

var tenantField = Field{Name: "tenant", Help: "a declared tenant", Choices: tenants}

// withTenant changes one declared tenant.
func withTenant(d *doc.Document, v Values, change func(*doc.Tenant) error) error {
	name := v["tenant"]
	t, ok := d.Tenants[name]
	if !ok {
		return fmt.Errorf("%w tenant: %q is not declared; use one of %s", ErrField, name, strings.Join(tenants(d), ", "))
	}
	if err := change(&t); err != nil {
		return err
	}
	d.Tenants[name] = t
	return nil
}

func parseNumber(v Values, name string) (float64, error) {
	x, err := strconv.ParseFloat(strings.TrimSpace(v[name]), 64)
	if err != nil {
		return 0, fmt.Errorf("%w %s: %q is no number", ErrField, name, v[name])
	}
	return x, nil
}

var pause = Form{
	Name: "pause", Title: "Pause a tenant", Fields: []Field{tenantField},
	apply: func(d *doc.Document, v Values) error {
		return withTenant(d, v, func(t *doc.Tenant) error { t.Paused = true; return nil })
	},
}

var resume = Form{
	Name: "resume", Title: "Resume a tenant", Fields: []Field{tenantField},
	apply: func(d *doc.Document, v Values) error {
		return withTenant(d, v, func(t *doc.Tenant) error { t.Paused = false; return nil })
	},
}

var share = Form{
	Name: "share", Title: "Change a tenant's weight",
	Fields: []Field{tenantField, {Name: "weight", Help: "more than 0; twice the weight is twice the share"}},
	apply: func(d *doc.Document, v Values) error {
		return withTenant(d, v, func(t *doc.Tenant) (err error) {
			t.Weight, err = parseNumber(v, "weight")
			return err
		})
	},
}

var quota = Form{
	Name: "quota", Title: "Change a tenant's quota",
	Fields: []Field{
		tenantField,
		{Name: "rate", Help: "task starts a second over all VMs, 0 for no limit", Optional: true},
		{Name: "slots", Help: "slots at once over all VMs, 0 for no limit", Optional: true},
	},
	apply: func(d *doc.Document, v Values) error {
		return withTenant(d, v, func(t *doc.Tenant) error {
			if v["rate"] != "" {
				x, err := parseNumber(v, "rate")
				if err != nil {
					return err
				}
				t.Rate = x
			}
			if v["slots"] != "" {
				x, err := parseNumber(v, "slots")
				if err != nil {
					return err
				}
				t.Slots = int(x)
			}
			return nil
		})
	},
}

var class = Form{
	Name: "class", Title: "Add or change a class",
	Fields: []Field{
		{Name: "class", Help: "its name"},
		{Name: "band", Help: "urgent, routine or bulk", Choices: func(*doc.Document) []string {
			return []string{job.Urgent.String(), job.Routine.String(), job.Bulk.String()}
		}},
		{Name: "deadline", Help: "such as 5s"},
		{Name: "once", Help: "yes for non-idempotent work", Choices: func(*doc.Document) []string { return []string{"no", "yes"} }},
		{Name: "hold", Help: "how long an answer may be given again, such as 30s", Optional: true},
	},
	apply: func(d *doc.Document, v Values) error {
		k := doc.Class{Once: v["once"] == "yes"}
		if err := k.Band.UnmarshalText([]byte(v["band"])); err != nil {
			return fmt.Errorf("%w band: %w", ErrField, err)
		}
		if err := k.Deadline.UnmarshalText([]byte(v["deadline"])); err != nil {
			return fmt.Errorf("%w deadline: %w", ErrField, err)
		}
		if v["hold"] != "" {
			if err := k.Hold.UnmarshalText([]byte(v["hold"])); err != nil {
				return fmt.Errorf("%w hold: %w", ErrField, err)
			}
		}
		d.Classes[v["class"]] = k
		return nil
	},
}

var drain = Form{
	Name: "drain", Title: "Drain endpoints",
	Fields: []Field{{Name: "endpoints", Help: "addresses with commas; they get no new work"}},
	apply: func(d *doc.Document, v Values) error {
		list, err := parseAddresses(v["endpoints"])
		if err != nil {
			return err
		}
		for _, a := range list {
			if !slices.Contains(d.Endpoints.Drain, a) {
				d.Endpoints.Drain = append(d.Endpoints.Drain, a)
			}
		}
		return nil
	},
}

var undrain = Form{
	Name: "undrain", Title: "Let drained endpoints work again",
	Fields: []Field{{Name: "endpoints", Help: "addresses with commas"}},
	apply: func(d *doc.Document, v Values) error {
		list, err := parseAddresses(v["endpoints"])
		if err != nil {
			return err
		}
		d.Endpoints.Drain = slices.DeleteFunc(d.Endpoints.Drain, func(a netip.AddrPort) bool { return slices.Contains(list, a) })
		return nil
	},
}

func parseAddresses(text string) (list []netip.AddrPort, err error) {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' || r == '\r' }) {
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, fmt.Errorf("%w endpoints: %q is no address; write an IP number and a port", ErrField, part)
		}
		list = append(list, a)
	}
	return list, nil
}

var reserve = Form{
	Name: "reserve", Title: "Change the urgent reserve",
	Fields: []Field{{Name: "part", Help: "part of the slots kept for urgent work, such as 0.08"}},
	apply: func(d *doc.Document, v Values) (err error) {
		d.Reserve, err = parseNumber(v, "part")
		return err
	},
}
