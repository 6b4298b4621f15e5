package call

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp/fasthttputil"

	"dahliawinch/internal/base/meter"
	"dahliawinch/internal/base/timer"
	"dahliawinch/internal/task/flow"
	"dahliawinch/internal/task/place"
)

// A caller sends a job under a ticket to two VMs: one runs it, the other has just
// started and has no document. The second VM must answer "unknown": if it refused
// before it checked for a ticket, the caller would take a job that ran for one that
// did not. Found by a random-fault test of package scene, seed 132.
func TestTicketIsUnknownWithoutDocument(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	node, err := flow.New(t.Context(), flow.Config{Self: netip.MustParseAddrPort("127.0.0.1:1"), Policy: place.Homes},
		flow.Deps{Timers: timer.New(timer.Wall{}), Meter: meter.New(), Log: log})
	is.NoErr(err)
	l := fasthttputil.NewInmemoryListener()
	s := NewServer(node, log)
	go func() { _ = s.Serve(l) }()
	client := http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return l.Dial() }}}
	for _, c := range []struct{ method, path, body, outcome string }{
		{"POST", "/jobs", `{"class":"a","tasks":[{"body":1}]}`, "refused"},
		{"POST", "/jobs", `{"class":"a","ticket":"T.0","tasks":[{"body":1}]}`, "unknown"},
		{"GET", "/tickets/T.0", "", "unknown"},
		{"DELETE", "/tickets/T.0", "", "unknown"},
	} {
		req, err := http.NewRequestWithContext(t.Context(), c.method, "http://x"+c.path, strings.NewReader(c.body))
		is.NoErr(err)
		resp, err := client.Do(req)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.True(strings.Contains(string(text), `"outcome":"`+c.outcome+`"`))
	}
	is.NoErr(l.Close())
}
