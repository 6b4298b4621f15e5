package place

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Home returns the VM that manages an endpoint's slots, by rendezvous hashing:
// when a VM is lost, only its own endpoints move.
func Home(endpoint netip.AddrPort, vms []netip.AddrPort) (home netip.AddrPort) {
	var best uint64
	for _, vm := range vms {
		if w := hashWeight(endpoint, vm); !home.IsValid() || w > best || (w == best && vm.Compare(home) < 0) {
			home, best = vm, w
		}
	}
	return home
}

func hashWeight(endpoint, vm netip.AddrPort) uint64 {
	var buf [36]byte
	a, b := endpoint.Addr().As16(), vm.Addr().As16()
	copy(buf[:], a[:])
	copy(buf[16:], b[:])
	binary.BigEndian.PutUint16(buf[32:], endpoint.Port())
	binary.BigEndian.PutUint16(buf[34:], vm.Port())
	return xxhash.Sum64(buf[:])
}
