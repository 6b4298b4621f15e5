// Package certs holds a VM's certificate and the authority of the other entry VMs,
// and takes over rotated files without dropping a connection.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
)

// Files name the PEM files.
type Files struct {
	Cert      string
	Key       string
	Authority string // empty where no peer is verified
}

// Store has the current certificate; connections made later use what was loaded
// last, and open ones stay as they are.
type Store struct {
	files Files
	now   atomic.Pointer[loaded]
}

type loaded struct {
	cert tls.Certificate
	pool *x509.CertPool
	text string
}

// ErrAuthority is returned for a file without a certificate in it.
var ErrAuthority = errors.New("no certificate in the file")

// Open loads the files.
func Open(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload takes over changed files and reports whether there were any. After an
// error the certificate loaded before stays: a rotation half written must not stop a
// VM that serves.
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
	text := string(cert) + string(key) + string(authority)
	if old := s.now.Load(); old != nil && old.text == text {
		return false, nil
	}
	next := &loaded{text: text}
	if next.cert, err = tls.X509KeyPair(cert, key); err != nil {
		return false, fmt.Errorf("pair certificate and key: %w", err)
	}
	if authority != nil {
		next.pool = x509.NewCertPool()
		if !next.pool.AppendCertsFromPEM(authority) {
			return false, fmt.Errorf("load %s: %w", s.files.Authority, ErrAuthority)
		}
	}
	s.now.Store(next)
	return true, nil
}

// Server is the configuration of a listener; mutual asks the other end for a
// certificate of the authority.
func (s *Store) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.now.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{now.cert}}
			if mutual {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, now.pool
			}
			return c, nil
		},
	}
}

// Client is the configuration for one connection to a peer at an IP number.
func (s *Store) Client(ip string) *tls.Config {
	now := s.now.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: ip, RootCAs: now.pool,
		Certificates: []tls.Certificate{now.cert},
	}
}
