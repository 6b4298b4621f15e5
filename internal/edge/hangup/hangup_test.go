package hangup

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work for a caller that left before its request was read, as while the VM was paused.
func TestCallerThatHasLeftIsNoticedAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close() //nolint:errcheck // of a test
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close() //nolint:errcheck // of a test
	left := false
	stop := Watch(c, func() { left = true })
	stop()
	is.True(!left) // it is there
	is.NoErr(caller.Close())
	time.Sleep(20 * time.Millisecond) // its last packet is on its way
	Watch(c, func() { left = true })()
	is.True(left)
}
