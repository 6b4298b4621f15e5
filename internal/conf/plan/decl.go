package plan

import "strings"

// Decl is one thing that operators declare and that stands until they take it back: a version of
// the configuration, or that a failure domain is cordoned.
type Decl struct {
	Plan   *Plan  // nil in a cordon
	Cordon string // the failure domain whose endpoints get no new work; empty in a configuration
}

const (
	keyPlan    = "plan"
	keyCordons = "cordon/"
)

// Key is what a declaration is kept under; a newer one under the same key replaces it.
func (d Decl) Key() string {
	if d.Cordon != "" {
		return keyCordons + d.Cordon
	}
	return keyPlan
}

// Same reports whether another declaration under the same key says the same.
func (d Decl) Same(o Decl) bool {
	if d.Plan == nil || o.Plan == nil {
		return d == o
	}
	return d.Plan.Version == o.Plan.Version
}

// Cordoned returns the failure domain that a key cordons, if it is the key of a cordon.
func Cordoned(key string) (domain string, ok bool) { return strings.CutPrefix(key, keyCordons) }
