// Package certs holds a VM's certificate and the certificate authority of the entry VMs,
// and reloads rotated files without dropping connections.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
)

// Files holds the paths of the PEM files.
type Files struct {
	Cert      string
	Key       string
	Authority string // empty if no peer is verified
}

// Store holds the certificate loaded last. New connections use it; open connections
// are not affected by a reload.
type Store struct {
	files   Files
	current atomic.Pointer[material]
}

// material is what was loaded from one version of the files.
type material struct {
	cert tls.Certificate
	pool *x509.CertPool
	raw  string
}

// ErrAuthority is returned for an authority file that holds no certificate.
var ErrAuthority = errors.New("no certificate in the file")

// Open returns a store with the files loaded.
func Open(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload loads the files again and reports whether they changed. On an error it keeps
// the previous certificate: a half-written rotation must not stop a VM that is serving.
func (s *Store) Reload() (changed bool, err error) {
	cert, err := os.ReadFile(s.files.Cert)
	if err != nil {
		return false, fmt.Errorf("load certificate: %w", err)
	}
	key, err := os.ReadFile(s.files.Key)
	if err != nil {
		return false, fmt.Errorf("load key: %w", err)
	}
	var authority []byte
	if s.files.Authority != "" {
		if authority, err = os.ReadFile(s.files.Authority); err != nil {
			return false, fmt.Errorf("load authority: %w", err)
		}
	}
	raw := string(cert) + string(key) + string(authority)
	if old := s.current.Load(); old != nil && old.raw == raw {
		return false, nil
	}
	next := &material{raw: raw}
	if next.cert, err = tls.X509KeyPair(cert, key); err != nil {
		return false, fmt.Errorf("load key pair: %w", err)
	}
	if authority != nil {
		next.pool = x509.NewCertPool()
		if !next.pool.AppendCertsFromPEM(authority) {
			return false, fmt.Errorf("load %s: %w", s.files.Authority, ErrAuthority)
		}
	}
	s.current.Store(next)
	return true, nil
}

// ServerConfig returns the TLS configuration of a listener; with mutual, clients must
// present a certificate of the authority.
func (s *Store) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cur := s.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cur.cert}}
			if mutual {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, cur.pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration for one connection to a peer at an IP address.
func (s *Store) ClientConfig(ip string) *tls.Config {
	cur := s.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: ip, RootCAs: cur.pool,
		Certificates: []tls.Certificate{cur.cert},
	}
}
