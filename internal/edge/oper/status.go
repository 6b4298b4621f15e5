package oper

import (
	"net/netip"
	"time"

	"dahliawinch/internal/conf/valid"
)

// Status is a VM's own state and its view of the other VMs.
type Status struct {
	VM       netip.AddrPort `json:"vm"`
	Domain   string         `json:"domain"`
	Inc      uint64         `json:"inc"`
	Rev      uint64         `json:"rev"`
	Since    time.Time      `json:"since,omitzero"`
	Author   string         `json:"author,omitempty"`
	Sure     bool           `json:"sure"` // Rev is certainly in force as of the last record read from the log
	Draining bool           `json:"draining"`
	Active   int            `json:"active"`
	Waiting  int            `json:"waiting"`
	Slots    int            `json:"slots"`
	Free     int            `json:"free"`
	Out      int            `json:"out"` // ejected endpoints
	Members  []Member       `json:"members"`
}

// Member is another VM as this one sees it.
type Member struct {
	VM     netip.AddrPort `json:"vm"`
	Domain string         `json:"domain"`
	State  string         `json:"state"`
	Inc    uint64         `json:"inc"`
	Rev    uint64         `json:"rev"`
	Heard  valid.Span     `json:"heard"` // time since the last message
	Free   int            `json:"free"`
}

func (s *Server) status() Status {
	st := s.node.Stats()
	out := Status{
		VM: st.VM, Domain: st.Domain, Inc: st.Inc, Sure: s.keeper.Certain(), Draining: s.node.Draining(),
		Active: s.node.Active(), Waiting: s.node.Waiting(), Slots: st.Slots, Free: st.Free, Out: st.Ejected,
		Members: []Member{},
	}
	if r, since, ok := s.node.InForce(); ok {
		out.Rev, out.Since, out.Author = r.Rev, since, r.Author
	}
	for _, m := range s.node.View().Members() {
		out.Members = append(out.Members, Member{
			VM: m.VM, Domain: m.Domain, State: m.State.String(), Inc: m.Inc, Rev: m.Beat.Rev,
			Heard: valid.Span(st.Now.Sub(m.Heard).Round(time.Millisecond)), Free: m.Beat.Room.Free,
		})
	}
	return out
}
