package oper

import (
	"fmt"
	"time"

	"dahliawinch/internal/mesh/view"
)

// Spread is how far a revision has come on one VM.
type Spread struct {
	VM     string `json:"vm"`
	Domain string `json:"domain"`
	Rev    uint64 `json:"rev"`
	There  bool   `json:"there"`
	Says   string `json:"says"`
}

// spread says where a revision is in force; 0 stands for this VM's.
func (s *Server) spread(rev uint64) (mood, answer string, rows []Spread) {
	st := s.node.Stats()
	cur, since, ok := s.node.InForce()
	if !ok {
		return bad, "No document is known here yet.", nil
	}
	if rev == 0 {
		rev = cur.Rev
	}
	rows = append(rows, row(st.VM.String(), st.Domain, cur.Rev, rev, "since "+since.Format("15:04:05")))
	for _, m := range s.node.View().Members() {
		switch m.State {
		case view.Left, view.Gone:
			continue // replaced; it serves nobody
		case view.Alive:
			rows = append(rows, row(m.VM.String(), m.Domain, m.Beat.Rev, rev, ""))
		default:
			r := row(m.VM.String(), m.Domain, m.Beat.Rev, rev, "")
			r.There = false
			r.Says = fmt.Sprintf("not heard from for %s", st.Now.Sub(m.Heard).Round(time.Second))
			rows = append(rows, r)
		}
	}
	there := 0
	for _, r := range rows {
		if r.There {
			there++
		}
	}
	if there == len(rows) {
		return good, fmt.Sprintf("Revision %d is in force on all %d VMs.", rev, there), rows
	}
	return wait, fmt.Sprintf("Revision %d is in force on %d of %d VMs.", rev, there, len(rows)), rows
}

func row(vm, domain string, has, want uint64, since string) Spread {
	r := Spread{VM: vm, Domain: domain, Rev: has, There: has >= want}
	switch {
	case has > want:
		r.Says = fmt.Sprintf("has %d, which is newer", has)
	case r.There:
		r.Says = fmt.Sprintf("has %d %s", has, since)
	case has == 0:
		r.Says = "has none yet"
	default:
		r.Says = fmt.Sprintf("still has %d", has)
	}
	return r
}
