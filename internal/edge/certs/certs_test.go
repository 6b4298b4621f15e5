package certs

import (
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

var localIP = netip.MustParseAddr("127.0.0.1")

func newStore(t *testing.T, a *Authority, ips ...netip.Addr) (*Store, Files) {
	t.Helper()
	f, err := a.Issue(t.TempDir(), time.Hour, ips...)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Open(f)
	if err != nil {
		t.Fatal(err)
	}
	return s, f
}

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// serveEcho echoes single bytes on each connection until the listener closes.
func serveEcho(t *testing.T, s *Store) net.Addr {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", s.ServerConfig(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						_ = c.Close()
						return
					}
					_, _ = c.Write(b)
				}
			}()
		}
	}()
	return l.Addr()
}

func ping(c *tls.Conn) error {
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestUnknownAuthorityIsRejected(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server, _ := newStore(t, a, localIP)
	at := serveEcho(t, server)
	good, _ := newStore(t, a, localIP)
	c, err := tls.Dial("tcp", at.String(), good.ClientConfig("127.0.0.1"))
	is.NoErr(err)
	is.NoErr(ping(c))
	otherCA, _ := newStore(t, newAuthority(t), localIP)
	cfg := otherCA.ClientConfig("127.0.0.1")
	cfg.InsecureSkipVerify = true // the server must reject it, not the client
	c, err = tls.Dial("tcp", at.String(), cfg)
	if err == nil {
		err = ping(c)
	}
	is.True(err != nil)
	otherIP, _ := newStore(t, a, netip.MustParseAddr("127.0.0.9"))
	_, err = tls.Dial("tcp", serveEcho(t, otherIP).String(), good.ClientConfig("127.0.0.1"))
	is.True(err != nil) // the certificate is for another VM's IP address
}

// Rotating the certificate files must not break open links between entry VMs, as it
// would if listeners were recreated for a new certificate.
func TestRotationKeepsOpenConnections(t *testing.T) {
	is := is.New(t)
	old := newAuthority(t)
	server, f := newStore(t, old, localIP)
	at := serveEcho(t, server)
	before, _ := newStore(t, old, localIP)
	c, err := tls.Dial("tcp", at.String(), before.ClientConfig("127.0.0.1"))
	is.NoErr(err)
	is.NoErr(ping(c))
	next := newAuthority(t)
	made, err := next.Issue(t.TempDir(), time.Hour, localIP)
	is.NoErr(err)
	for from, to := range map[string]string{made.Cert: f.Cert, made.Key: f.Key, made.Authority: f.Authority} {
		text, err := os.ReadFile(from)
		is.NoErr(err)
		is.NoErr(os.WriteFile(to, text, 0o600))
	}
	changed, err := server.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(ping(c)) // the open connection still works
	after, err := Open(made)
	is.NoErr(err)
	c2, err := tls.Dial("tcp", at.String(), after.ClientConfig("127.0.0.1"))
	is.NoErr(err)
	is.NoErr(ping(c2))
	is.NoErr(os.WriteFile(f.Authority, []byte("half written"), 0o600))
	_, err = server.Reload()
	is.True(errors.Is(err, ErrAuthority))
	c3, err := tls.Dial("tcp", at.String(), after.ClientConfig("127.0.0.1"))
	is.NoErr(err) // the previous certificate is still used
	is.NoErr(ping(c3))
}
