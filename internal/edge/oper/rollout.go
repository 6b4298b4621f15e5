package oper

import (
	"fmt"
	"time"

	"dahliawinch/internal/mesh/view"
)

// RolloutRow shows the revision that one VM has.
type RolloutRow struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Rev     uint64 `json:"rev"`
	InForce bool   `json:"there"`
	Says    string `json:"says"`
}

// rollout returns on which VMs a revision is in force; a rev of 0 means the revision in force on this VM.
func (s *Server) rollout(rev uint64) (mood, answer string, rows []RolloutRow) {
	st := s.node.Stats()
	cur, since, ok := s.node.InForce()
	if !ok {
		return moodBad, "No document is known here yet.", nil
	}
	if rev == 0 {
		rev = cur.Rev
	}
	rows = append(rows, newRow(st.VM.String(), st.Domain, cur.Rev, rev, "since "+since.Format("15:04:05")))
	for _, m := range s.node.View().Members() {
		switch m.State {
		case view.Left, view.Gone:
			continue // replaced; it serves no callers
		case view.Alive:
			rows = append(rows, newRow(m.VM.String(), m.Domain, m.Beat.Rev, rev, ""))
		default:
			r := newRow(m.VM.String(), m.Domain, m.Beat.Rev, rev, "")
			r.InForce = false
			r.Says = fmt.Sprintf("not heard from for %s", st.Now.Sub(m.Heard).Round(time.Second))
			rows = append(rows, r)
		}
	}
	inForce := 0
	for _, r := range rows {
		if r.InForce {
			inForce++
		}
	}
	if inForce == len(rows) {
		return moodGood, fmt.Sprintf("Revision %d is in force on all %d VMs.", rev, inForce), rows
	}
	return moodWait, fmt.Sprintf("Revision %d is in force on %d of %d VMs.", rev, inForce, len(rows)), rows
}

func newRow(vm, domain string, has, want uint64, since string) RolloutRow {
	r := RolloutRow{VM: vm, Domain: domain, Rev: has, InForce: has >= want}
	switch {
	case has > want:
		r.Says = fmt.Sprintf("has %d, which is newer", has)
	case r.InForce:
		r.Says = fmt.Sprintf("has %d %s", has, since)
	case has == 0:
		r.Says = "has none yet"
	default:
		r.Says = fmt.Sprintf("still has %d", has)
	}
	return r
}
