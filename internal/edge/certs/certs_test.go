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

var home = netip.MustParseAddr("127.0.0.1")

func store(t *testing.T, a *Authority, ips ...netip.Addr) (*Store, Files) {
	t.Helper()
	f, err := a.Make(t.TempDir(), time.Hour, ips...)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Open(f)
	if err != nil {
		t.Fatal(err)
	}
	return s, f
}

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// echo answers one byte on each connection until the listener closes.
func echo(t *testing.T, s *Store) net.Addr {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", s.Server(true))
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

func TestOnlyTheAuthoritysVMsComeIn(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	server, _ := store(t, a, home)
	at := echo(t, server)
	good, _ := store(t, a, home)
	c, err := tls.Dial("tcp", at.String(), good.Client("127.0.0.1"))
	is.NoErr(err)
	is.NoErr(ping(c))
	stranger, _ := store(t, authority(t), home)
	cfg := stranger.Client("127.0.0.1")
	cfg.InsecureSkipVerify = true // the stranger doesn't care, the server must
	c, err = tls.Dial("tcp", at.String(), cfg)
	if err == nil {
		err = ping(c)
	}
	is.True(err != nil)
	elsewhere, _ := store(t, a, netip.MustParseAddr("127.0.0.9"))
	_, err = tls.Dial("tcp", echo(t, elsewhere).String(), good.Client("127.0.0.1"))
	is.True(err != nil) // a certificate of another VM's number
}

// Symptom: every link between entry VMs breaks when certificates are rotated.
// Sequence: the files change while connections are open. Cause: listeners are made
// anew for a new certificate.
func TestRotationKeepsOpenConnections(t *testing.T) {
	is := is.New(t)
	old := authority(t)
	server, f := store(t, old, home)
	at := echo(t, server)
	before, _ := store(t, old, home)
	c, err := tls.Dial("tcp", at.String(), before.Client("127.0.0.1"))
	is.NoErr(err)
	is.NoErr(ping(c))
	next := authority(t)
	made, err := next.Make(t.TempDir(), time.Hour, home)
	is.NoErr(err)
	for from, to := range map[string]string{made.Cert: f.Cert, made.Key: f.Key, made.Authority: f.Authority} {
		text, err := os.ReadFile(from)
		is.NoErr(err)
		is.NoErr(os.WriteFile(to, text, 0o600))
	}
	changed, err := server.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(ping(c)) // the open connection goes on
	after, err := Open(made)
	is.NoErr(err)
	c2, err := tls.Dial("tcp", at.String(), after.Client("127.0.0.1"))
	is.NoErr(err)
	is.NoErr(ping(c2))
	is.NoErr(os.WriteFile(f.Authority, []byte("half written"), 0o600))
	_, err = server.Reload()
	is.True(errors.Is(err, ErrAuthority))
	c3, err := tls.Dial("tcp", at.String(), after.Client("127.0.0.1"))
	is.NoErr(err) // what was loaded before stays
	is.NoErr(ping(c3))
}
