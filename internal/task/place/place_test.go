package place

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/job"
)

var now = time.Unix(1_700_000_000, 0)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 80)
}

func infos(n int) (list []Info) {
	for i := range n {
		list = append(list, Info{Addr: addr(i), Domain: "a", Slots: 8, Size: job.Size{Cores: 64}})
	}
	return list
}

func all(Info) bool { return true }

func TestSlotsAreNeverOverallocated(t *testing.T) {
	is := is.New(t)
	for _, name := range Names {
		p, err := ByName[*Endpoint](name)
		is.NoErr(err)
		tab := NewTable(p)
		tab.Update(now.Add(-time.Minute), infos(5), all)
		var mu sync.Mutex
		var got []*Endpoint
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 10 {
					if e := tab.Acquire(now, job.Size{}, 4); e != nil {
						mu.Lock()
						got = append(got, e)
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		for _, e := range tab.Own() {
			is.True(e.Busy() <= 8)
		}
		_, free := tab.Slots(now)
		is.Equal(free+len(got), 40)
		is.True(tab.Acquire(now, job.Size{}, free) == nil)
	}
}

func TestUnsuitableEndpointsGetNoTasks(t *testing.T) {
	is := is.New(t)
	tab := NewTable(Least[*Endpoint]{})
	tab.Update(now.Add(-time.Minute), infos(2), all)
	tab.Find(addr(0)).MarkLeaving()
	tab.Find(addr(1)).MarkFull(now)
	is.True(tab.Acquire(now, job.Size{}, 0) == nil)
	is.True(tab.Acquire(now.Add(time.Second), job.Size{Cores: 65}, 0) == nil)
	is.Equal(tab.Acquire(now.Add(time.Second), job.Size{Cores: 64}, 0).Addr, addr(1))
}

// Guards against a flood of refusals right after a VM left, with jobs that miss their
// deadlines for lack of retries: the new home sends a task to every slot of endpoints
// where tasks of the old home still run, because it counts unknown slots as free.
func TestTakenOverEndpointsRampUp(t *testing.T) {
	is := is.New(t)
	tab := NewTable(Least[*Endpoint]{})
	tab.Update(now, infos(1), all)
	count := func(at time.Time) (k int) {
		for tab.Acquire(at, job.Size{}, 0) != nil {
			k++
		}
		return k
	}
	is.Equal(count(now), 1)
	is.Equal(count(now.Add(2*slotRegrowth)), 2)
	tab.Find(addr(0)).MarkFull(now.Add(2 * slotRegrowth)) // the third was refused
	tab.Find(addr(0)).Release()
	is.Equal(count(now.Add(2*slotRegrowth)), 0)
	is.Equal(count(now.Add(3*slotRegrowth)), 1)
	is.Equal(count(now.Add(time.Minute)), 5)
}

// Guards against a flood of refusals after the loss of one VM: with hashing by modulus,
// half of all endpoints would change homes.
func TestOnlyTheLostVMsEndpointsMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "vms")
		var vms []netip.AddrPort
		for i := range n {
			vms = append(vms, addr(1000+i))
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		rest := append(append([]netip.AddrPort{}, vms[:gone]...), vms[gone+1:]...)
		for i := range 100 {
			was, is := Home(addr(i), vms), Home(addr(i), rest)
			if was != vms[gone] && was != is {
				t.Fatalf("endpoint %d moved from %v to %v", i, was, is)
			}
		}
	})
}
