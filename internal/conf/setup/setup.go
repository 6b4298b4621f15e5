// Package setup defines the settings of one daemon, which come from its file and
// flags, as opposed to the declared document of the service.
package setup

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"dahliawinch/internal/conf/valid"
	"dahliawinch/internal/task/flow"
	"dahliawinch/internal/task/place"
)

// Settings are the settings of an entry daemon; each is also a flag of the same name.
type Settings struct {
	Domain    string           `json:"domain"`
	Stream    string           `json:"stream"`
	Mesh      netip.AddrPort   `json:"mesh"`
	Caller    netip.AddrPort   `json:"caller"`
	Operator  netip.AddrPort   `json:"operator"`
	Log       netip.AddrPort   `json:"log"`
	List      netip.AddrPort   `json:"list"`
	Peers     []netip.AddrPort `json:"peers,omitempty"`
	Policy    string           `json:"policy"`
	Memory    int64            `json:"memory"`    // bytes of submissions held in memory
	Term      valid.Span       `json:"term"`      // how long a ticket may start work
	Retention valid.Span       `json:"retention"` // of the log
	Linger    valid.Span       `json:"linger"`    // how long a leaving VM still listens
	Level     string           `json:"level"`
	// Operators are the SHA-256 hashes of operator keys, by the operator's name.
	Operators map[string]string `json:"operators,omitempty"`
	// TLS names the key and certificate files; empty for no TLS.
	TLS TLS `json:"tls,omitzero"`
}

// TLS names the PEM files for a VM's listeners. The same certificate is used for callers,
// operators and, verified by the authority on both sides, the other entry VMs.
type TLS struct {
	Cert      string `json:"cert,omitempty"`
	Key       string `json:"key,omitempty"`
	Authority string `json:"authority,omitempty"` // CA of the entry VMs' certificates
	Mesh      bool   `json:"mesh,omitempty"`      // mutual TLS between entry VMs
	Caller    bool   `json:"caller,omitempty"`
	Operator  bool   `json:"operator,omitempty"`
}

// Default returns the default settings, which the file and flags override.
func Default() Settings {
	return Settings{
		Policy: place.Homes, Memory: flow.DefaultMemory, Term: valid.Span(flow.DefaultTicketTerm),
		Retention: valid.Span(time.Hour), Linger: valid.Span(5 * time.Second), Level: "info",
	}
}

// Read overrides the settings with those of a file.
func (s *Settings) Read(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := valid.DecodeStrict(text, s); err != nil {
		return &valid.Error{Problems: []valid.Problem{valid.JSONProblem("settings", err)}}
	}
	return nil
}

// Check returns all problems of the settings.
func (s *Settings) Check() (ps []valid.Problem) {
	require := func(ok bool, field, wrong, fix string) {
		if !ok {
			ps = append(ps, valid.Problem{Field: field, Wrong: wrong, Fix: fix})
		}
	}
	require(s.Domain != "", "domain", "is missing", "name this VM's failure domain")
	require(s.Stream != "" && !strings.ContainsAny(s.Stream, "/?# "), "stream", fmt.Sprintf("%q is no name", s.Stream), "name the service's stream of the log")
	for _, a := range []struct {
		name string
		at   netip.AddrPort
	}{{"mesh", s.Mesh}, {"caller", s.Caller}, {"operator", s.Operator}, {"log", s.Log}, {"list", s.List}} {
		require(a.at.IsValid() && a.at.Port() > 0, a.name, "is no address", "write an IP number and a port, such as 127.0.0.1:7001")
	}
	if _, err := place.ByName[*place.Endpoint](s.Policy); err != nil {
		require(false, "policy", err.Error(), "use "+place.Homes)
	}
	require(s.Memory >= 1<<20, "memory", fmt.Sprint(s.Memory), "use at least 1048576 bytes")
	require(s.Term.Std() >= time.Second && s.Term.Std() <= time.Hour, "term", s.Term.Std().String(), "use 1s to 1h")
	require(s.Retention.Std() >= time.Minute, "retention", s.Retention.Std().String(), "use the log's retention, at least 1m")
	require(s.Linger >= 0 && s.Linger.Std() <= time.Minute, "linger", s.Linger.Std().String(), "use 0s to 1m")
	for name, h := range s.Operators {
		raw, err := hex.DecodeString(h)
		require(err == nil && len(raw) == sha256.Size, "operators."+name, "is not a SHA-256 in hex", "make one with: dahliawinch keys hash")
	}
	useTLS := s.TLS.Mesh || s.TLS.Caller || s.TLS.Operator
	require(!useTLS || s.TLS.Cert != "" && s.TLS.Key != "", "tls.cert", "is missing", "name the PEM files of certificate and key")
	require(!s.TLS.Mesh || s.TLS.Authority != "", "tls.authority", "is missing", "name the PEM file of the entry VMs' authority")
	_, ok := levels[s.Level]
	require(ok, "level", fmt.Sprintf("%q is no level", s.Level), "use debug, info, warn or error")
	return ps
}

var levels = map[string]int{"debug": -4, "info": 0, "warn": 4, "error": 8}

// Encode returns the settings in the format of the file.
func (s *Settings) Encode() ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return text, nil
}

// LogLevel returns the level for log/slog.
func (s *Settings) LogLevel() int { return levels[s.Level] }

// Set changes one setting to the text of its flag.
func (s *Settings) Set(name, text string) error {
	value := json.RawMessage(text)
	switch name {
	case "memory":
	case "peers":
		addrs, err := json.Marshal(strings.Split(text, ","))
		if err != nil {
			return fmt.Errorf("flag %s: %w", name, err)
		}
		value = addrs
	default:
		quoted, err := json.Marshal(text)
		if err != nil {
			return fmt.Errorf("flag %s: %w", name, err)
		}
		value = quoted
	}
	object, err := json.Marshal(map[string]json.RawMessage{name: value})
	if err != nil {
		return fmt.Errorf("flag %s: %w", name, err)
	}
	if err := valid.DecodeStrict(object, s); err != nil {
		return fmt.Errorf("flag %s: %w", name, err)
	}
	return nil
}
