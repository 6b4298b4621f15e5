package plan

import "strings"

// Decl is a declaration by operators, in force until they withdraw it: a version of the
// configuration, or the cordon of a failure domain.
type Decl struct {
	Plan   *Plan  // nil for a cordon
	Cordon string // the failure domain whose endpoints get no new work; empty for a configuration
}

const (
	keyPlan      = "plan"
	cordonPrefix = "cordon/"
)

// Key returns the key that the declaration is stored under; a newer one replaces it.
func (d Decl) Key() string {
	if d.Cordon != "" {
		return cordonPrefix + d.Cordon
	}
	return keyPlan
}

// Same reports whether another declaration under the same key is equal.
func (d Decl) Same(other Decl) bool {
	if d.Plan == nil || other.Plan == nil {
		return d == other
	}
	return d.Plan.Version == other.Plan.Version
}

// Cordoned returns the failure domain of a cordon's key; ok is false for other keys.
func Cordoned(key string) (domain string, ok bool) { return strings.CutPrefix(key, cordonPrefix) }
