package entry_test

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/conf/setup"
	"dahliawinch/internal/edge/entry"
	"dahliawinch/internal/tool/local"
)

// freeAddr returns a free loopback address, which is given to no other process.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	at, err := local.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// A daemon that is stopped before its listeners accept must end. fasthttp's shutdown
// does nothing for a server that does not accept yet, so the process would hang.
func TestDaemonStoppedDuringStartEnds(t *testing.T) {
	is := is.New(t)
	for range 20 {
		set := setup.Default()
		set.Domain, set.Stream = "a", "s"
		set.Mesh, set.Caller, set.Operator = freeAddr(t), freeAddr(t), freeAddr(t)
		set.Log, set.List = freeAddr(t), freeAddr(t) // nothing listens there
		ctx, cancel := context.WithCancel(t.Context())
		d, err := entry.New(ctx, set, slog.New(slog.NewTextHandler(io.Discard, nil)))
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx, context.Background()) }()
		cancel()
		select {
		case err := <-done:
			is.NoErr(err)
		case <-time.After(10 * time.Second):
			t.Fatal("the daemon did not end")
		}
	}
}
