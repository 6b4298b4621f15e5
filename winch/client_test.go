package winch_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/winch"
)

// Symptom: a caller is told "not run" of a top-up that was charged. Sequence: its first
// answer is lost, it asks after the ticket or sends the job again, and the VM can't be
// reached. Cause: a connection that fails proves only that nothing was sent this time.
func TestNoConnectionIsNoRefusalUnderATicket(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	at := l.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(l.Close()) // nobody listens there now
	c := winch.NewClient(at, "key")
	job := winch.Job{Class: "topup", Tasks: []winch.Task{{Body: 1}}}
	a, err := c.Submit(t.Context(), job)
	is.NoErr(err)
	is.Equal(a.Outcome, winch.Refused) // without a ticket this is its only copy
	job.Ticket = "T.0"
	a, err = c.Submit(t.Context(), job)
	is.NoErr(err)
	is.Equal(a.Outcome, winch.Unknown)
	is.Equal(c.Ask(t.Context(), "T.0").Outcome, winch.Unknown)
	is.Equal(c.Cancel(t.Context(), "T.0").Outcome, winch.Unknown)
}
