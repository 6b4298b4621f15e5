package hangup

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller may disconnect before its request is read, for example while the VM is paused. No
// work may be done for it.
func TestClosedCallerIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close() //nolint:errcheck // of a test
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close() //nolint:errcheck // of a test
	closed := false
	stop := Watch(c, func() { closed = true })
	stop()
	is.True(!closed) // still connected
	is.NoErr(caller.Close())
	time.Sleep(20 * time.Millisecond) // time for its last packet to arrive
	Watch(c, func() { closed = true })()
	is.True(closed)
}
