// Package serve is the daemon of an entry VM whose endpoints are leased: it takes jobs
// in, sends them to the owner of endpoints with room, and owns some itself.
package serve

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/task/lease"
)

// Settings of the daemon. Times are written with their unit, such as "900ms".
type Settings struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Caller  netip.AddrPort `json:"caller"`
	Ready   netip.AddrPort `json:"ready"`
	Mesh    netip.AddrPort `json:"mesh"`
	Metrics netip.AddrPort `json:"metrics,omitzero"`
	Store   netip.AddrPort `json:"store"`
	// Seeds are VMs to begin with while the store is away, with the mesh's port.
	Seeds  string     `json:"seeds,omitempty"` // addresses with commas; their ports don't count
	Memory int        `json:"memory"`          // MiB that the process may use
	Cores  float64    `json:"cores"`           // of a processor that it may use
	Link   float64    `json:"link,omitempty"`  // Mbit/s that its link carries; 0 if it is not known
	Hold   valid.Span `json:"hold"`            // longest lease that an endpoint grants
	Stop   valid.Span `json:"stop"`            // longest time a stop takes
	Resend valid.Span `json:"resend"`          // until a caller submits a job again whose outcome is unknown, at the earliest
	Grace  valid.Span `json:"grace"`           // from the signal to leave until the end
	Far    float64    `json:"far"`             // how many times longer a task runs away from its data
	Level  string     `json:"level"`
}

// Defaults are what a settings file need not say.
func Defaults() Settings {
	return Settings{Memory: 256, Cores: 1, Hold: valid.Span(time.Second), Stop: valid.Span(50 * time.Millisecond), Resend: valid.Span(1300 * time.Millisecond), Grace: valid.Span(6 * time.Second), Far: 2, Level: "info"}
}

// Read takes a settings file over and checks it.
func Read(path string) (Settings, error) {
	s := Defaults()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	if err := valid.Strict(text, &s); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, &valid.Error{Problems: []valid.Problem{valid.JSONProblem("settings", err)}})
	}
	if ps := s.Check(); len(ps) > 0 {
		return s, fmt.Errorf("settings %s: %w", path, &valid.Error{Problems: ps})
	}
	return s, nil
}

// Check returns every problem of the settings.
func (s *Settings) Check() (ps []valid.Problem) {
	need := func(ok bool, field string, value any, mend string) {
		if !ok {
			ps = append(ps, valid.Problem{Field: field, Wrong: fmt.Sprintf("%v is not usable", value), Mend: mend})
		}
	}
	need(s.Domain != "", "domain", `""`, "name this VM's failure domain")
	for _, a := range []struct {
		name string
		at   netip.AddrPort
	}{{"caller", s.Caller}, {"ready", s.Ready}, {"mesh", s.Mesh}, {"store", s.Store}} {
		need(a.at.IsValid() && a.at.Port() > 0, a.name, a.at, "write an IP number and a port, such as 127.0.0.1:7001")
	}
	need(s.Cores > 0 && s.Cores <= 1024, "cores", s.Cores, "use the part of a core that it may use, such as 0.4")
	need(s.Link >= 0 && s.Link <= 1e6, "link", s.Link, "use the Mbit/s of its link, such as 200, or leave it out")
	need(s.Memory >= 32, "memory", s.Memory, "use at least 32 MiB")
	need(s.Hold.Std() >= 100*time.Millisecond && s.Hold.Std() <= time.Minute, "hold", s.Hold.Std(), "use 100ms to 1m")
	need(s.Stop.Std() > 0 && s.Stop.Std() <= 10*time.Second, "stop", s.Stop.Std(), "use 1ms to 10s")
	need(s.Resend.Std() >= leastResend && s.Resend.Std() <= time.Minute, "resend", s.Resend.Std(), "use 400ms to 1m")
	need(s.Stop.Std() <= s.Resend.Std()/lease.StopPart, "stop", s.Stop.Std(), "use at most a fifth of resend, "+(s.Resend.Std()/lease.StopPart).String())
	need(s.Grace.Std() > 0 && s.Grace.Std() <= time.Hour, "grace", s.Grace.Std(), "use 1s to 1h")
	need(s.Far >= 1, "far", s.Far, "use 1 or more")
	_, err := s.peers()
	need(err == nil, "seeds", s.Seeds, "write addresses with commas between them")
	need(levels[s.Level] != nil, "level", s.Level, "use debug, info, warn or error")
	return ps
}

// leastResend leaves time for leases and their renewals.
const leastResend = 400 * time.Millisecond

// peers are the seeds' mesh addresses: all VMs use the same ports.
func (s *Settings) peers() (vms []netip.AddrPort, err error) {
	for _, text := range strings.FieldsFunc(s.Seeds, func(r rune) bool { return r == ',' }) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("seeds: %w", err)
		}
		if at := netip.AddrPortFrom(a.Addr(), s.Mesh.Port()); at != s.Mesh {
			vms = append(vms, at)
		}
	}
	return vms, nil
}

var levels = map[string]*int{"debug": new(-4), "info": new(0), "warn": new(4), "error": new(8)}

// LogLevel is the level for log/slog.
func (s *Settings) LogLevel() int { return *levels[s.Level] }

// bytesPerMegabit turns Mbit/s into bytes a second.
const bytesPerMegabit = 1e6 / 8

// linkBytes is what the link carries, in bytes a second; 0 if it is not known.
func (s *Settings) linkBytes() float64 { return s.Link * bytesPerMegabit }

// errFixed is returned for a setting that can't change while the daemon runs.
var errFixed = errors.New("can't change while the daemon runs; restart it")

// adopt checks a changed file against the settings in force: addresses of listeners
// stay as they are bound.
func (s *Settings) adopt(next Settings) error {
	if s.Caller != next.Caller || s.Ready != next.Ready || s.Mesh != next.Mesh || s.Domain != next.Domain {
		was, _ := json.Marshal([]any{s.Domain, s.Caller, s.Ready, s.Mesh})
		return fmt.Errorf("domain, caller, ready, mesh were %s: %w", was, errFixed)
	}
	return nil
}
