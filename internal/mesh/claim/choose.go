package claim

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// best returns the VM that should own a group that nobody owns: one of its own domain,
// else any, by rendezvous hashing weighted by what each can carry, so that a VM's groups
// spread over all others when it goes. What an owner that stays hands over goes to the VM with
// the least to carry.
func (b *Book) best(now time.Time, g Seat, peers []Peer, giving netip.AddrPort) (best netip.AddrPort) {
	if vm := b.relief(now, g, peers, giving); vm.IsValid() {
		return vm
	}
	top, class, key := 0.0, 0, g.key()
	deputy := b.deputy(key, peers)
	look := func(vm netip.AddrPort, domain string, power float64, strained bool) {
		c := 0 // its own domain first, then its deputy, and in each those that aren't strained
		switch domain {
		case g.Domain:
			c = 4
		case deputy:
			c = 2
		}
		if !strained {
			c++
		}
		w := weight(key, vm, power)
		if !best.IsValid() || c > class || (c == class && w > top) {
			best, top, class = vm, w, c
		}
	}
	if b.self != giving {
		look(b.self, b.domain, b.power, b.strained)
	}
	for _, p := range peers {
		if p.Live && !p.Leaving && p.VM != giving {
			look(p.VM, p.Domain, p.Power, p.Strained)
		}
	}
	return best
}

// deputy is the failure domain whose VMs own a unit of a domain that has none left.
//
// What goes wrong if it is the best of all VMs that this one knows: in a large deployment each keeps
// links to a part of the other domains' VMs. Those that don't know each other claim the same groups,
// take them from each other, and jobs on them fail. One notices groups that are dropped for a higher
// fence. Every VM knows some VMs of each domain, and all of its own: so they agree on the deputy, and
// its VMs agree on the owner.
func (b *Book) deputy(key string, peers []Peer) (best string) {
	top := uint64(0)
	look := func(domain string) {
		if w := xxhash.Sum64String(key + "|" + domain); best == "" || w > top {
			best, top = domain, w
		}
	}
	look(b.domain)
	for _, p := range peers {
		if p.Domain != b.domain && p.Live && !p.Leaving {
			look(p.Domain)
		}
	}
	return best
}

// weight is a VM's score for a key: the highest of all is drawn with a chance that grows
// with the square of its power, since a weak owner holds up all jobs of its pool.
func weight(key string, vm netip.AddrPort, power float64) float64 {
	if power <= 0 {
		power = 1
	}
	h := xxhash.Sum64String(key + "|" + vm.String())
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -power * power / math.Log(u)
}
