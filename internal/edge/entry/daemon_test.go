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

// free returns an address that no other process is given.
func free(t *testing.T) netip.AddrPort {
	t.Helper()
	at, err := local.Spare()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// Symptom: a daemon that is ended right after its start serves for ever, and its
// process hangs. Sequence: it is told to end before its listeners accept. Cause: the
// HTTP library's shutdown does nothing for a server that has not begun.
func TestDaemonEndedWhileItStartsEnds(t *testing.T) {
	is := is.New(t)
	for range 20 {
		set := setup.Default()
		set.Domain, set.Stream = "a", "s"
		set.Mesh, set.Caller, set.Operator = free(t), free(t), free(t)
		set.Log, set.List = free(t), free(t) // nobody is there
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
