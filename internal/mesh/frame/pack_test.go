package frame

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// endpointUpdate returns a full copy of n endpoints.
func endpointUpdate(n int) *EndpointUpdate {
	m := &EndpointUpdate{To: 7, Whole: true}
	for i := range n {
		m.All = append(m.All, lease.Info{
			ID: fmt.Sprintf("i-%010x", uint32(i)*2654435761), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), uint16(8000+i%700)),
			Domain: "fd-a", Pool: "pool", Labels: []string{"a", fmt.Sprint("rack-", i/8)}, Size: job.Size{Cores: 64, Memory: 256},
		})
	}
	return m
}

func TestPackedFramesRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, 30, 350, 3000} {
		data, err := Append(nil, endpointUpdate(n))
		is.NoErr(err)
		packed := Pack(data)
		t.Logf("%d endpoints: %d bytes, %d packed", n, len(data), len(packed))
		is.True(len(packed) <= len(data))
		m, size, err := Read(bytes.NewReader(packed))
		is.NoErr(err)
		is.Equal(size, len(packed))
		is.Equal(m, endpointUpdate(n))
	}
}

// Guards against a VM that runs out of memory or closes a link for good because it trusts a bad
// packed frame: one that is cut short, holds another packed one, or unpacks to more than MaxPayload.
func TestBadPackedFramesAreErrors(t *testing.T) {
	is := is.New(t)
	data, err := Append(nil, endpointUpdate(350))
	is.NoErr(err)
	packed := Pack(data)
	cut := append([]byte(nil), packed[:len(packed)-9]...)
	cut[2], cut[3] = byte((len(cut)-headerSize)>>8), byte(len(cut)-headerSize)
	_, _, err = Read(bytes.NewReader(cut))
	is.True(err != nil)
	twice := Pack(append(append([]byte{0, 0, 0, 0}, byte(kindPacked)), bytes.Repeat([]byte{0}, 2*minPackSize)...))
	_, _, err = Read(bytes.NewReader(twice))
	is.True(errors.Is(err, ErrKind))
	bomb := Pack(append(append([]byte{0, 0, 0, 0}, byte(kindEndpointUpdate)), make([]byte, MaxPayload+1)...))
	_, _, err = Read(bytes.NewReader(bomb))
	is.True(errors.Is(err, ErrSize))
}
