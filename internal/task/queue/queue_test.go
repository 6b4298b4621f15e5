package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	order = Order{Spread: 50, Stretch: 4, Lead: 2 * time.Second}
)

func all(string) bool { return true }

func entry(tenant string, tasks int, weight float64) *Entry[string] {
	return &Entry[string]{Job: tenant, Tenant: tenant, Weight: weight, Cost: 200 * time.Millisecond, Tasks: tasks}
}

// Guards against a tenant whose flood starves another, or who gets more than its
// weight, while both have a backlog: jobs must not be served by arrival alone.
func TestBackloggedTenantsShareByWeight(t *testing.T) {
	is := is.New(t)
	q := New[string](epoch, order)
	for range 400 {
		q.Push(epoch, entry("heavy", 20, 3))
	}
	for range 400 {
		q.Push(epoch.Add(time.Second), entry("light", 2, 1))
	}
	got := map[string]int{}
	for range 800 {
		e, ok := q.Next(all)
		is.True(ok)
		got[e.Tenant]++
	}
	ratio := float64(got["heavy"]) / float64(got["light"])
	is.True(ratio > 2.5 && ratio < 3.5)
}

func TestTenantOverQuotaBlocksNobody(t *testing.T) {
	is := is.New(t)
	q := New[string](epoch, order)
	q.Push(epoch, entry("a", 5, 1))
	q.Push(epoch.Add(time.Second), entry("b", 5, 1))
	e, ok := q.Next(func(tenant string) bool { return tenant == "b" })
	is.True(ok)
	is.Equal(e.Tenant, "b")
	_, ok = q.Next(func(string) bool { return false })
	is.True(!ok)
	is.Equal(q.Tasks(), 9)
}

func TestSmallJobGoesBeforeLargeOne(t *testing.T) {
	is := is.New(t)
	q := New[string](epoch, order)
	q.Push(epoch, entry("a", 500, 1))
	q.Push(epoch.Add(time.Millisecond), entry("b", 1, 1))
	e, _ := q.Next(all)
	is.Equal(e.Tenant, "b")
}

// Guards against idle slots while tasks wait, and against starts of cancelled jobs:
// for any mix of arrivals, starts, returns and cancellations the counts must match
// the heaps.
func TestCountsMatchWaitingTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](epoch, order)
		now := epoch
		waiting := map[*Entry[string]]int{}
		taken := map[*Entry[string]]int{}
		dropped := map[*Entry[string]]bool{}
		total := func() (n int) {
			for _, k := range waiting {
				n += k
			}
			return n
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				e := entry(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "tenant")), rapid.IntRange(1, 6).Draw(t, "tasks"), 1)
				q.Push(now, e)
				waiting[e] = e.Tasks
			case 2:
				e, ok := q.Next(all)
				if ok != (total() > 0) {
					t.Fatalf("Next returned %v with %d tasks waiting", ok, total())
				}
				if ok && (dropped[e] || waiting[e] == 0) {
					t.Fatal("Next returned a task that does not wait")
				}
				if ok {
					waiting[e]--
					taken[e]++
				}
			case 3:
				for e, k := range taken {
					if k > 0 && !dropped[e] {
						q.Return(e)
						taken[e]--
						waiting[e]++
						break
					}
				}
			default:
				for e, k := range waiting {
					if k > 0 {
						if got := q.Drop(e); got != k {
							t.Fatalf("dropped %d tasks, %d waited", got, k)
						}
						waiting[e] = 0
						dropped[e] = true
						break
					}
				}
			}
			if q.Tasks() != total() {
				t.Fatalf("Tasks returned %d, %d wait", q.Tasks(), total())
			}
		}
	})
}
