package view

import "time"

const (
	// isolationWindow is how close together the last heartbeats of all others must be for their silence to
	// count as one event: one period of the heartbeats between domains plus network delay.
	isolationWindow = (RemoteFactor + 2) * Period
	// maxIsolation is how long a VM considers itself isolated. If all others really were lost at once,
	// something must claim their endpoints in the end.
	maxIsolation = 30 * time.Second
)

// Isolated reports whether this VM is more likely cut off than the others are lost: it had heard VMs of
// several failure domains, and all of them fell silent at the same moment.
//
// A VM may lose its messages to other VMs and still reach the store and the endpoints. Without this check it
// considers all others lost, claims their endpoints and stops what runs there: it logs a "group" line for every
// group, and jobs of owners that are up fail.
func (v *View) Isolated(now time.Time) bool {
	members := v.Members()
	lastHeard := time.Time{}
	for _, m := range members {
		if m.State == Alive || m.State == Suspect || m.State == Gone {
			if now.Sub(m.Heard) < goneAfter {
				return false
			}
			if m.Heard.After(lastHeard) {
				lastHeard = m.Heard
			}
		}
	}
	if now.Sub(lastHeard) >= maxIsolation {
		return false
	}
	domain, several := "", false
	for _, m := range members {
		if m.State == Listed || m.State == Left || lastHeard.Sub(m.Heard) > isolationWindow {
			continue
		}
		several = several || (domain != "" && domain != m.Domain)
		domain = m.Domain
	}
	return several
}
