package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that Issue writes.
const (
	AuthorityFile = "authority.pem"
	CertFile      = "cert.pem"
	KeyFile       = "key.pem"
)

// Authority issues certificates for a test deployment.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority creates an authority whose certificate is valid for life.
func NewAuthority(life time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	t, err := newTemplate("dahliawinch authority", life)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	return &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("make serial: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(life),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue creates a certificate for IP addresses and writes it, its key and the
// authority's certificate into a directory.
func (a *Authority) Issue(dir string, life time.Duration, ips ...netip.Addr) (Files, error) {
	f := Files{
		Cert: filepath.Join(dir, CertFile), Key: filepath.Join(dir, KeyFile), Authority: filepath.Join(dir, AuthorityFile),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, fmt.Errorf("make key: %w", err)
	}
	t, err := newTemplate("dahliawinch entry VM", life)
	if err != nil {
		return f, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, ip := range ips {
		t.IPAddresses = append(t.IPAddresses, net.IP(ip.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, fmt.Errorf("make certificate: %w", err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, fmt.Errorf("make key: %w", err)
	}
	for _, out := range []struct {
		path string
		text []byte
	}{{f.Key, encodePEM("EC PRIVATE KEY", raw)}, {f.Cert, encodePEM("CERTIFICATE", der)}, {f.Authority, a.pem}} {
		if err := os.WriteFile(out.path, out.text, 0o600); err != nil {
			return f, fmt.Errorf("write %s: %w", out.path, err)
		}
	}
	return f, nil
}
