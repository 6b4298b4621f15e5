package call

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// patient is how long a request runs before its connection is looked at.
	patient = 50 * time.Millisecond
	// lookEvery is the time between two looks.
	lookEvery = 100 * time.Millisecond
)

// onHangup calls fn when the caller closes its connection while its request is
// being worked on. The HTTP library reads nothing meanwhile, so waiting work
// would keep its place in the queue for a caller that is gone.
func onHangup(c net.Conn, fn func()) (stop func()) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return func() {}
	}
	sys, err := raw.SyscallConn()
	if err != nil {
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

// hungUp peeks at the socket without taking bytes of a next request.
func hungUp(c syscall.RawConn) (gone bool) {
	err := c.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			gone = n == 0
		case err != syscall.EAGAIN && err != syscall.EINTR:
			gone = true
		}
	})
	return gone || err != nil
}
