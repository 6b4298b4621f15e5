// Package serve is the daemon of an entry VM that leases endpoints: it accepts jobs, sends each to an owner of
// endpoints with room, and owns some endpoints itself.
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

// Settings configure the daemon. Times are written with their unit, such as "900ms".
type Settings struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Caller  netip.AddrPort `json:"caller"`
	Ready   netip.AddrPort `json:"ready"`
	Mesh    netip.AddrPort `json:"mesh"`
	Metrics netip.AddrPort `json:"metrics,omitzero"`
	Store   netip.AddrPort `json:"store"`
	// Seeds are the VMs to contact while the store is away.
	Seeds        string     `json:"seeds,omitempty"` // addresses separated by commas; their ports are replaced by Mesh's
	Memory       int        `json:"memory"`          // MiB that the process may use
	Cores        float64    `json:"cores"`           // processor cores that it may use, such as 0.4
	Link         float64    `json:"link,omitempty"`  // Mbit/s that its link carries; 0 if unknown
	Hold         valid.Span `json:"hold"`            // longest lease that an endpoint grants
	Stop         valid.Span `json:"stop"`            // longest time that a stop takes
	Resend       valid.Span `json:"resend"`          // minimum time before a caller submits a job with an unknown outcome again
	Grace        valid.Span `json:"grace"`           // from the signal to leave until the end
	RemoteFactor float64    `json:"far"`             // how many times longer a task runs outside its data's failure domain
	Level        string     `json:"level"`
	Options
}

// Defaults returns the values of settings that a file may leave out.
func Defaults() Settings {
	return Settings{Memory: 256, Cores: 1, Hold: valid.Span(time.Second), Stop: valid.Span(50 * time.Millisecond), Resend: valid.Span(1300 * time.Millisecond), Grace: valid.Span(6 * time.Second), RemoteFactor: 2, Level: "info"}
}

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	s := Defaults()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	if err := valid.DecodeStrict(text, &s); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, &valid.Error{Problems: []valid.Problem{valid.JSONProblem("settings", err)}})
	}
	if ps := s.Check(); len(ps) > 0 {
		return s, fmt.Errorf("settings %s: %w", path, &valid.Error{Problems: ps})
	}
	return s, nil
}

// Check returns all problems of the settings.
func (s *Settings) Check() (ps []valid.Problem) {
	require := func(ok bool, field string, value any, fix string) {
		if !ok {
			ps = append(ps, valid.Problem{Field: field, Wrong: fmt.Sprintf("%v is not usable", value), Fix: fix})
		}
	}
	require(s.Domain != "", "domain", `""`, "name this VM's failure domain")
	for _, a := range []struct {
		name string
		at   netip.AddrPort
	}{{"caller", s.Caller}, {"ready", s.Ready}, {"mesh", s.Mesh}, {"store", s.Store}} {
		require(a.at.IsValid() && a.at.Port() > 0, a.name, a.at, "write an IP number and a port, such as 127.0.0.1:7001")
	}
	require(s.Cores > 0 && s.Cores <= 1024, "cores", s.Cores, "use the number of cores that it may use, such as 0.4")
	require(s.Link >= 0 && s.Link <= 1e6, "link", s.Link, "use the Mbit/s of its link, such as 200, or leave it out")
	require(s.Memory >= 32, "memory", s.Memory, "use at least 32 MiB")
	require(s.Hold.Std() >= 100*time.Millisecond && s.Hold.Std() <= time.Minute, "hold", s.Hold.Std(), "use 100ms to 1m")
	require(s.Stop.Std() > 0 && s.Stop.Std() <= 10*time.Second, "stop", s.Stop.Std(), "use 1ms to 10s")
	require(s.Resend.Std() >= minResend && s.Resend.Std() <= time.Minute, "resend", s.Resend.Std(), "use 400ms to 1m")
	require(s.Stop.Std() <= s.Resend.Std()/lease.StopsPerResend, "stop", s.Stop.Std(), "use at most a fifth of resend, "+(s.Resend.Std()/lease.StopsPerResend).String())
	require(s.Grace.Std() > 0 && s.Grace.Std() <= time.Hour, "grace", s.Grace.Std(), "use 1s to 1h")
	require(s.RemoteFactor >= 1, "far", s.RemoteFactor, "use 1 or more")
	s.checkShares(require)
	_, err := s.seedPeers()
	require(err == nil, "seeds", s.Seeds, "separate addresses with commas")
	require(levels[s.Level] != nil, "level", s.Level, "use debug, info, warn or error")
	return ps
}

// minResend leaves enough time for leases and their renewals.
const minResend = 400 * time.Millisecond

// seedPeers returns the seeds' mesh addresses: all VMs use the same ports.
func (s *Settings) seedPeers() (vms []netip.AddrPort, err error) {
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

// LogLevel returns the level for log/slog.
func (s *Settings) LogLevel() int { return *levels[s.Level] }

// bytesPerMegabit converts Mbit/s to bytes a second.
const bytesPerMegabit = 1e6 / 8

// linkBytes returns the link's capacity in bytes a second; 0 if unknown.
func (s *Settings) linkBytes() float64 { return s.Link * bytesPerMegabit }

// errFixed is returned for a setting that can't change while the daemon runs.
var errFixed = errors.New("can't change while the daemon runs; restart it")

// checkReload rejects changes of the failure domain and of listeners' addresses, which stay as they are bound.
func (s *Settings) checkReload(next Settings) error {
	if s.Caller != next.Caller || s.Ready != next.Ready || s.Mesh != next.Mesh || s.Domain != next.Domain {
		current, _ := json.Marshal([]any{s.Domain, s.Caller, s.Ready, s.Mesh})
		return fmt.Errorf("domain, caller, ready, mesh were %s: %w", current, errFixed)
	}
	return nil
}
