// Package hangup notices callers that leave while their request is worked on.
package hangup

import (
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// patient is how long a request runs before its connection is looked at again.
	patient = 50 * time.Millisecond
	// lookEvery is the time between two looks.
	lookEvery = 100 * time.Millisecond
	// Notice is how long the end of a caller's connection may be under way.
	Notice = 100 * time.Millisecond
)

// Open reports whether a caller's connection is open, as far as its end has arrived.
func Open(c net.Conn) bool {
	sys, ok := rawConn(c)
	return !ok || !hungUp(sys)
}

// rawConn returns the connection below TLS; false if the kernel doesn't know it.
func rawConn(c net.Conn) (syscall.RawConn, bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	sys, err := raw.SyscallConn()
	return sys, err == nil
}

// Watch calls fn when the caller closes its connection while its request is
// being worked on, at once if it has. The HTTP library reads nothing meanwhile, so waiting work
// would keep its place in the queue for a caller that is gone.
func Watch(c net.Conn, fn func()) (stop func()) {
	sys, ok := rawConn(c)
	if !ok {
		return func() {}
	}
	if hungUp(sys) { // the request waited here while the VM was paused
		fn()
		return func() {}
	}
	w := &watch{conn: sys, fn: fn}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(patient, w.look)
	return w.stop
}

type watch struct {
	mu    sync.Mutex
	ended bool
	conn  syscall.RawConn
	fn    func()
	timer *time.Timer
}

func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if hungUp(w.conn) {
		w.ended = true
		w.fn()
		return
	}
	w.timer.Reset(lookEvery)
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// hungUp asks the kernel whether the other end has closed, which takes no bytes of
// a next request and works under TLS too.
func hungUp(c syscall.RawConn) (gone bool) {
	err := c.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return gone || err != nil
}
