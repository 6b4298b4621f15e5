package view

import "time"

const (
	// together is within what time all others must have been heard last for their silence to be one event:
	// a heartbeat between failure domains, and its way.
	together = (Far + 2) * Period
	// isolatedMost is how long a VM takes itself for isolated. Others that were lost at once and for good
	// need an heir in the end.
	isolatedMost = 30 * time.Second
)

// Isolated reports whether this VM is more likely cut off than the others are lost: it heard VMs of several
// failure domains, and all of them fell silent in one moment.
//
// What goes wrong without it: a VM whose messages to other VMs are lost reaches store and endpoints. It takes
// all others for lost, claims their endpoints and stops what runs there. One notices "group" lines of one VM
// for every group, and jobs of living owners that fail.
func (v *View) Isolated(now time.Time) bool {
	members := v.Members()
	last := time.Time{}
	for _, m := range members {
		if m.State == Alive || m.State == Suspect || m.State == Gone {
			if now.Sub(m.Heard) < goneAfter {
				return false
			}
			if m.Heard.After(last) {
				last = m.Heard
			}
		}
	}
	if now.Sub(last) >= isolatedMost {
		return false
	}
	domain, several := "", false
	for _, m := range members {
		if m.State == Listed || m.State == Left || last.Sub(m.Heard) > together {
			continue
		}
		several = several || (domain != "" && domain != m.Domain)
		domain = m.Domain
	}
	return several
}
