package bench

import (
	"errors"
	"fmt"
	"net"
)

// connPair returns the two ends of a TCP connection over loopback.
func connPair() (a, b net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("pair: %w", err)
	}
	defer func() { err = errors.Join(err, l.Close()) }()
	if a, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, fmt.Errorf("pair: %w", err)
	}
	if b, err = l.Accept(); err != nil {
		return nil, nil, fmt.Errorf("pair: %w", err)
	}
	return a, b, nil
}
