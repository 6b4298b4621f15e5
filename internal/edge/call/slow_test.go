package call

import (
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// TestMain serves one request outside of any synctest bubble; see TestMain in package wire.
func TestMain(m *testing.M) {
	l := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = s.Serve(l) }()
	c := fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return l.Dial() }}
	_, _, _ = c.Get(nil, "http://x/")
	os.Exit(m.Run())
}

// Callers that send a byte every few seconds and never finish their request would use
// up a VM's connections and memory if there were no time limit for reading a request.
func TestSlowRequestTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := fasthttputil.NewInmemoryListener()
		s := NewServer(nil, slog.New(slog.NewTextHandler(io.Discard, nil))) // no request reaches the node
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		c, err := l.Dial()
		is.NoErr(err)
		began := time.Now()
		_, err = io.WriteString(c, "POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
		is.NoErr(err)
		go func() {
			for range 1000 {
				time.Sleep(3 * time.Second)
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
			}
		}()
		text, err := io.ReadAll(c)
		is.NoErr(err)
		is.True(time.Since(began) <= readTimeout+time.Second)
		is.True(strings.Contains(string(text), `"outcome":"refused"`))
		is.NoErr(l.Close())
		is.NoErr(<-done)
		time.Sleep(time.Hour) // fasthttp's workers end after an idle time
	})
}
