package owner

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/lease"
)

// How long runs outlive the last word of their caller's VM is told when the last of them ends.
func TestOutlivedRunsAreTold(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	var told []time.Duration
	b.cfg.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	b.cfg.Word = func(netip.AddrPort) time.Time { return t0 }
	b.cfg.Outlived = func(d time.Duration) { told = append(told, d) }
	b.Submit(t0, key(1), of("j1", 0, tasks(2, 30, time.Second)))
	starts := b.Take().Starts
	begin(b, t0, starts)
	b.Cancel(t0.Add(300*time.Millisecond), key(1), "its caller left")
	finish(b, t0.Add(340*time.Millisecond), starts[0], lease.Gone)
	is.Equal(len(told), 0)
	finish(b, t0.Add(390*time.Millisecond), starts[1], lease.Gone)
	is.Equal(told, []time.Duration{390 * time.Millisecond})
}
