package winch_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/winch"
)

// A caller loses the answer to a job with a ticket and asks again while the VM can't be
// reached. The answer must be "unknown": a failed connection proves only that nothing
// was sent this time, and the first copy may have run.
func TestFailedDialWithTicketIsUnknown(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	at := l.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(l.Close()) // nothing listens there now
	c := winch.NewClient(at, "key")
	job := winch.Job{Class: "topup", Tasks: []winch.Task{{Body: 1}}}
	a, err := c.Submit(t.Context(), job)
	is.NoErr(err)
	is.Equal(a.Outcome, winch.Refused) // without a ticket there is no earlier copy
	job.Ticket = "T.0"
	a, err = c.Submit(t.Context(), job)
	is.NoErr(err)
	is.Equal(a.Outcome, winch.Unknown)
	is.Equal(c.Ask(t.Context(), "T.0").Outcome, winch.Unknown)
	is.Equal(c.Cancel(t.Context(), "T.0").Outcome, winch.Unknown)
}
