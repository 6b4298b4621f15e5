package serve

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/task/lease"
)

func listed(domain string, n int) lease.Info {
	return lease.Info{ID: fmt.Sprintf("%s-%d", domain, n), Domain: domain}
}

func TestRosterKeepsGroupsAndSizes(t *testing.T) {
	is := is.New(t)
	r := newRoster(mostOwned)
	for i := range 100 {
		r.put(listed("a", i))
		r.put(listed("a", i)) // its next report
	}
	is.Equal(r.sizes["a"], 100)
	moved := r.all["a-7"]
	moved.Domain = "b"
	r.put(moved)
	is.Equal(r.sizes["a"], 99)
	is.True(r.groups[groupOf(moved)]["a-7"])
	for id := range r.all {
		r.remove(id)
		r.remove(id)
	}
	is.Equal(len(r.groups)+len(r.sizes)+len(r.all), 0)
}

// Symptom: in a failure domain of hundreds of endpoints a few VMs own all of them and
// can't keep up with a burst. Cause: the number of owners doesn't grow with the domain.
func TestOwnersGrowWithTheDomain(t *testing.T) {
	is := is.New(t)
	for size, want := range map[int]int{1: 1, 12: 1, 48: 2, 88: 4, 450: 19, 2000: shards} {
		r := newRoster(mostOwned)
		for i := range size {
			r.put(listed("a", i))
		}
		units := map[int]bool{}
		for shard := range shards {
			units[r.unit(claim.Group{Domain: "a", Shard: uint8(shard)})] = true
		}
		is.Equal(len(units), want)
	}
}

// Symptom: after endpoints were restarted their owner takes each over and loses it again, ten times
// a second, for seconds. Sequence: the endpoint answers as another life; its old entry is listed
// until it runs out, and written anew by a copy of the list. Cause: what is listed is owned.
func TestDeadEndpointStaysDeadWhileItIsListed(t *testing.T) {
	is := is.New(t)
	r := newRoster(mostOwned)
	in := lease.Info{ID: "i-1", Domain: "a"}
	r.put(in)
	r.bury("i-1")
	r.put(in)
	is.Equal(len(r.all), 0)
	is.Equal(r.sizes["a"], 0)
	r.remove("i-1") // it is no longer listed
	is.Equal(len(r.dead), 0)
	r.bury("i-2") // never listed
	is.Equal(len(r.dead), 0)
}
