package owner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/plat/agent"
	"dahliawinch/internal/task/job"
	"dahliawinch/internal/task/lease"
)

// Guards against words that end runs which may still go on, and against words that are not heeded.
func TestOnlyAHigherFenceClearsAnEndpoint(t *testing.T) {
	own := uint64(7) // as bench has it
	for _, c := range []struct {
		name string
		word Cleared
		over bool
	}{
		{"higher", Cleared{"a", own + 1}, true},
		{"equal: the endpoint obeys both", Cleared{"a", own}, false},
		{"lower: it was owned again since", Cleared{"a", own - 1}, false},
		{"another endpoint or life", Cleared{"z", own + 1}, false},
	} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", lost ", lost), func(t *testing.T) {
				is := is.New(t)
				b := bench(64, 96)
				b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, time.Second)))
				first := b.Take().Starts
				begin(b, t0, first)
				is.Equal(first[0].At.ID, "a")
				if lost {
					b.Lose(t0, "a", false, "another VM owns it")
				}
				b.Yield(t0, c.word)
				is.Equal(b.Owned("a"), !lost && !c.over)
				b.Tick(t0)
				next := b.Take().Starts
				is.Equal(len(next) == 1, c.over)
				if c.over {
					is.Equal(next[0].At.ID, "b")
					is.True(next[0].Run.Num > first[0].Run.Num)
					is.Equal(len(b.suspects), 0) // the endpoint was not lost under it
				}
			})
		}
	}
}

func TestRunsOfAnEndpointThatIsOwnedAgainAreKept(t *testing.T) {
	is := is.New(t)
	b := bench(64)
	in := b.Find("a").Info
	b.Submit(t0, key(1), of("j1", 0, tasks(1, 30, time.Second)))
	begin(b, t0, b.Take().Starts)
	b.Lose(t0, "a", false, "another VM owns it")
	b.Own(in, 9)
	is.True(!b.Owned("a")) // its runs may go on
	b.Yield(t0, Cleared{"a", 8})
	b.Own(in, 9)
	b.Renewed(t0, t0, b.Find("a"), lease.Report{Clock: 1000})
	again := b.Take().Starts
	is.Equal(len(again), 1)
	begin(b, t0, again)
	b.Yield(t0, Cleared{"a", 8}) // the same word once more
	is.Equal(again[0].Run.Stage, lease.On)
	is.True(b.Owned("a"))
}

func TestClearedEndpointsAreToldByTurnsForAWhile(t *testing.T) {
	is := is.New(t)
	b := bench()
	const n = 2*mostCleared + 1
	for i := range n {
		in := lease.Info{ID: fmt.Sprintf("e%03d", i), Size: job.Size{Cores: 64}}
		b.Own(in, 8)
		b.Renewed(t0, t0, b.Find(in.ID), lease.Report{Running: []lease.Listed{{Name: "j.0.0.0", Num: 1}}})
		b.Renewed(t0, t0, b.Find(in.ID), lease.Report{})
	}
	b.Own(lease.Info{ID: "idle"}, 8)
	b.Renewed(t0, t0, b.Find("idle"), lease.Report{})
	told := map[string]bool{}
	for range 3 {
		all := b.Cleared(t0.Add(clearedFor))
		is.Equal(len(all), mostCleared)
		for _, c := range all {
			is.Equal(c.Fence, uint64(8))
			told[c.Endpoint] = true
		}
	}
	is.Equal(len(told), n)
	is.True(!told["idle"]) // nobody used it
	is.Equal(len(b.Cleared(t0.Add(clearedFor+1))), 0)
}

// contest is an endpoint for which two owners contend, over a network that delays orders and words for any time.
type contest struct {
	r     *rapid.T
	now   time.Time
	info  lease.Info
	books [2]*Book
	top   uint64 // highest fence that was used
	calls uint64

	fence   uint64 // that the endpoint obeys
	running map[lease.Name]bool
	past    map[lease.Name]bool // runs that were stopped or ended: they never begin
	ends    []lease.Ended
	serial  int64

	orders []func()
	words  []Cleared
	over   map[lease.Name]bool // runs that an owner takes as over for a word
	yields int
}

// obey reports whether the endpoint carries out an order.
func (c *contest) obey(fence uint64) bool {
	if fence < c.fence {
		return false
	}
	c.fence = fence
	return true
}

func (c *contest) start(b *Book, s Start) {
	n := lease.Name{Task: s.Run.Name, Num: s.Run.Num}
	if !c.obey(s.Fence) {
		b.Ordered(c.now, s, 0, &agent.RefusedError{Why: agent.Fenced})
		return
	}
	if !c.past[n] {
		if c.over[n] {
			c.r.Fatalf("%v begins after its owner took it as over", n)
		}
		c.running[n] = true
	}
	if rapid.Bool().Draw(c.r, "answered") {
		b.Ordered(c.now, s, 0, nil)
	}
}

func (c *contest) end(n lease.Name, how lease.How) {
	c.past[n] = true
	if c.running[n] {
		delete(c.running, n)
		c.serial++
		c.ends = append(c.ends, lease.Ended{Serial: c.serial, Name: n.Task, Num: n.Num, How: how})
	}
}

func (c *contest) stop(b *Book, s Stop) {
	if !c.obey(s.Fence) {
		return
	}
	c.past[s.Name] = true
	b.Stopped(c.now, s.At, s.Name)
	if rapid.Bool().Draw(c.r, "at once") {
		c.end(s.Name, lease.Gone)
	}
}

func (c *contest) renew(b *Book, ep *lease.Endpoint) {
	sent := c.now
	c.orders = append(c.orders, func() {
		if !c.obey(ep.Fence) {
			if b.Find(ep.ID) == ep {
				b.Lose(c.now, ep.ID, false, "it refused a renewal")
			}
			return
		}
		rep := lease.Report{Clock: 1000, Ended: append([]lease.Ended(nil), c.ends...)}
		for n := range c.running {
			rep.Running = append(rep.Running, lease.Listed{Name: n.Task, Num: n.Num})
		}
		if rapid.Bool().Draw(c.r, "late answer") {
			c.orders = append(c.orders, func() { b.Renewed(c.now, sent, ep, rep) })
			return
		}
		b.Renewed(c.now, sent, ep, rep)
	})
}

func (c *contest) yield(b *Book, w Cleared) {
	var runs []*lease.Run
	if s := b.sites[w.Endpoint]; s != nil {
		for _, r := range s.Runs {
			runs = append(runs, r)
		}
	}
	b.Yield(c.now, w)
	for _, r := range runs {
		if r.Stage != lease.Over {
			continue
		}
		n := lease.Name{Task: r.Name, Num: r.Num}
		if c.running[n] {
			c.r.Fatalf("%v runs, and its owner takes it as over", n)
		}
		c.over[n] = true
		c.yields++
	}
}

// acts puts what a book decided on its way.
func (c *contest) acts(b *Book) {
	a := b.Take()
	for _, s := range a.Starts {
		c.orders = append(c.orders, func() { c.start(b, s) })
	}
	for _, s := range a.Stops {
		c.orders = append(c.orders, func() { c.stop(b, s) })
	}
}

// events of a contest, the frequent ones several times.
var events = []string{
	"claim", "claim equal", "submit", "submit", "submit", "carry out", "carry out", "carry out", "carry out", "carry out", "carry out",
	"renew", "renew", "renew", "tell", "tell", "heed", "heed", "end", "tick",
}

func (c *contest) step() {
	i := rapid.IntRange(0, 1).Draw(c.r, "vm")
	b := c.books[i]
	switch rapid.SampledFrom(events).Draw(c.r, "event") {
	case "claim":
		c.top++
		b.Own(c.info, c.top)
	case "claim equal":
		b.Own(c.info, c.top)
	case "submit":
		c.calls++
		b.Submit(c.now, key(c.calls), of(fmt.Sprintf("%c%d", 'a'+i, c.calls), 0, tasks(1, 10, time.Second)))
	case "carry out":
		if n := len(c.orders); n > 0 {
			k := rapid.IntRange(0, n-1).Draw(c.r, "order")
			do := c.orders[k]
			c.orders = append(c.orders[:k:k], c.orders[k+1:]...)
			do()
		}
	case "renew":
		if ep := b.Find(c.info.ID); ep != nil {
			c.renew(b, ep)
		}
	case "tell":
		c.words = append(c.words, b.Cleared(c.now)...)
	case "heed": // any word, however old and often heard
		if n := len(c.words); n > 0 {
			c.yield(b, c.words[rapid.IntRange(0, n-1).Draw(c.r, "word")])
		}
	case "end":
		all := slices.SortedFunc(maps.Keys(c.running), func(a, b lease.Name) int { return strings.Compare(a.Task, b.Task) })
		if len(all) > 0 {
			c.end(rapid.SampledFrom(all).Draw(c.r, "run"), lease.Done)
		}
	case "tick":
		c.now = c.now.Add(20 * time.Millisecond)
		b.Tick(c.now)
	}
	c.acts(b)
}

// Over any sequence of claims, orders and words, late, lost or repeated: what an owner takes as over for a
// word does not run, and never begins.
func TestClearedRunsNeverRun(t *testing.T) {
	yields := 0
	rapid.Check(t, func(r *rapid.T) {
		c := &contest{
			r: r, now: t0, info: lease.Info{ID: "x", Pool: "p", Size: job.Size{Cores: 64, Memory: 64}}, books: [2]*Book{bench(), bench()}, top: 7,
			running: map[lease.Name]bool{}, past: map[lease.Name]bool{}, over: map[lease.Name]bool{},
		}
		for range 300 {
			c.step()
		}
		yields += c.yields
	})
	t.Logf("%d runs taken as over", yields)
}
