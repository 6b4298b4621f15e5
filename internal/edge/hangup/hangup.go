// Package hangup detects callers that disconnect while their request is in progress.
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
	// firstCheck is the time until a request's connection is checked again.
	firstCheck = 50 * time.Millisecond
	// checkInterval is the time between later checks.
	checkInterval = 100 * time.Millisecond
	// CloseDelay is how long the close of a caller's connection may take to reach the VM.
	CloseDelay = 100 * time.Millisecond
)

// IsOpen reports whether no close of a caller's connection has arrived yet.
func IsOpen(c net.Conn) bool {
	sys, ok := rawConn(c)
	return !ok || !hungUp(sys)
}

// rawConn returns the socket below TLS, and false if the connection is no socket.
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

// Watch calls fn when the caller closes its connection before stop is called, at once
// if it is closed already. fasthttp does not read while it handles a request, so without
// this a job would stay queued for a caller that is gone.
func Watch(c net.Conn, fn func()) (stop func()) {
	sys, ok := rawConn(c)
	if !ok {
		return func() {}
	}
	if hungUp(sys) { // closed while the VM was paused, before the request was read
		fn()
		return func() {}
	}
	w := &watcher{conn: sys, fn: fn}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(firstCheck, w.check)
	return w.stop
}

type watcher struct {
	mu    sync.Mutex
	ended bool
	conn  syscall.RawConn
	fn    func()
	timer *time.Timer
}

func (w *watcher) check() {
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
	w.timer.Reset(checkInterval)
}

func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// hungUp reports whether the kernel has seen the other end close. It consumes no bytes
// of a next request and also works under TLS.
func hungUp(c syscall.RawConn) (gone bool) {
	err := c.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return gone || err != nil
}
