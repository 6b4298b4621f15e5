// Package health judges endpoints by how tasks end on them, against how the
// same kinds of tasks end elsewhere.
//
// What goes wrong: an endpoint that fails every task answers fastest, so it is
// free most often and draws the most work. One notices many failed jobs that
// share one endpoint. The book allows an endpoint fewer slots with each failure
// that its tasks' tenants don't explain, and none after a few.
package health

import (
	"math"
	"net/netip"
	"sync"
	"time"
)

// End says how an attempt ended.
type End uint8

// The ends of an attempt that bear on health.
const (
	OK          End = iota
	Bad             // the task ran and failed
	Unreachable     // nothing could be sent
	Silent          // sent, and no answer came
	Going           // it runs yet; Ran is what it will take in all
)

var endNames = [...]string{"ok", "bad", "unreachable", "silent", "going"}

func (e End) String() string { return endNames[e] }

const (
	// out is how many unexplained strikes in a row eject an endpoint.
	out = 2.2
	// blame is the gain of a kind's failure rate.
	blame = 0.3
	// rest is the first time out; it doubles with each failed trial.
	rest    = 10 * time.Second
	restTop = 10 * time.Minute
	// redial is the first pause after a failed dial.
	redial    = 250 * time.Millisecond
	redialTop = 5 * time.Second
	// slowOut is the distance of the run time's logarithm from the usual at which an
	// endpoint counts as a straggler (e^1.2, 3.3 times).
	slowOut = 1.2
	// capPart is the part of the endpoints that may be out for failures at once.
	capPart = 1.0 / 3
)

// The gains of the run time's logarithm: how much a run tells of its endpoint.
const (
	// Wild is for run times of which one in twenty is ten times its usual.
	Wild = 0.1
	// Tame is for run times within a factor of two of what is expected: four runs tell a
	// straggler, not fifteen.
	Tame = 0.3
)

// Report is one ended attempt.
type Report struct {
	Addr  netip.AddrPort
	Kind  string // tenant and kind of the task
	End   End
	Ran   time.Duration
	Usual time.Duration
}

// Book judges the endpoints that one VM sends to.
type Book struct {
	mu    sync.Mutex
	all   map[netip.AddrPort]*state
	kinds map[string]*kind
	gain  float64
	slow  float64 // usual logarithm of run time over expectation
}

// kind of task, by tenant and name.
type kind struct {
	failing float64 // recent failure rate
	proven  bool    // it has succeeded somewhere
}

type state struct {
	slots   int
	strikes float64
	out     bool
	dead    bool
	until   time.Time
	rest    time.Duration
	slow    float64
	samples int
}

// mostKinds bounds the memory that invented kinds can take.
const mostKinds = 4096

// New returns an empty book; gain is Wild or Tame.
func New(gain float64) *Book {
	return &Book{gain: gain, all: map[netip.AddrPort]*state{}, kinds: map[string]*kind{}}
}

// Keep forgets all endpoints but those listed and learns their slots.
func (b *Book) Keep(slots map[netip.AddrPort]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for a := range b.all {
		if _, ok := slots[a]; !ok {
			delete(b.all, a)
		}
	}
	for a, n := range slots {
		if b.all[a] == nil {
			b.all[a] = &state{}
		}
		b.all[a].slots = n
	}
}

// Note takes in a report and returns the slots that the endpoint is allowed now.
func (b *Book) Note(now time.Time, r Report) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[r.Addr]
	if s == nil {
		return 0
	}
	switch r.End {
	case OK:
		b.ok(s, r)
		b.speed(s, r)
	case Going:
		b.speed(s, r)
	case Bad:
		b.bad(now, s, r)
	case Unreachable:
		s.dead = true
		s.rest = min(redialTop, max(redial, 2*s.rest))
		s.until = now.Add(s.rest)
	case Silent:
		s.strikes += 0.5 // a long run that timed out looks the same
		b.judge(now, s)
	}
	return b.limit(now, s)
}

func (b *Book) ok(s *state, r Report) {
	b.rate(r.Kind, 0)
	if s.out || s.dead {
		s.out, s.dead, s.rest = false, false, 0
		s.strikes = 1 // back by a trickle: a quarter of the slots, then half
	} else {
		s.strikes *= 0.5
	}
}

// speed takes a run time into the endpoint's speed.
func (b *Book) speed(s *state, r Report) {
	if r.Ran <= 0 || r.Usual <= 0 {
		return
	}
	x := math.Log(r.Ran.Seconds() / r.Usual.Seconds())
	s.samples++
	s.slow += max(b.gain, 1/float64(s.samples)) * (x - s.slow)
	b.slow += 0.01 * (x - b.slow)
}

// bad counts a failure only as far as its kind doesn't fail elsewhere too, and not
// at all before the kind has succeeded once: one tenant whose requests all fail
// must not eject endpoints.
func (b *Book) bad(now time.Time, s *state, r Report) {
	if k := b.kinds[r.Kind]; k != nil && k.proven {
		s.strikes += 1 - k.failing
	}
	b.rate(r.Kind, 1)
	b.judge(now, s)
}

func (b *Book) judge(now time.Time, s *state) {
	if s.strikes < out || (!s.out && b.ejected()+1 > b.most()) {
		return
	}
	s.out = true
	s.rest = min(restTop, max(rest, 2*s.rest))
	s.until = now.Add(s.rest)
}

func (b *Book) rate(name string, x float64) {
	k := b.kinds[name]
	if k == nil {
		if len(b.kinds) >= mostKinds {
			clear(b.kinds)
		}
		k = &kind{}
		b.kinds[name] = k
	}
	k.failing += blame * (x - k.failing)
	k.proven = k.proven || x == 0
}

// Reached notes that an endpoint which could not be reached answered a probe. It
// says nothing of how tasks end there, so an ejected endpoint stays out.
func (b *Book) Reached(a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.all[a]; s != nil && s.dead {
		s.dead = false
		if !s.out {
			s.rest = 0
		}
	}
}

// Limit returns the slots that an endpoint is allowed now.
func (b *Book) Limit(now time.Time, a netip.AddrPort) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[a]
	if s == nil {
		return 0
	}
	return b.limit(now, s)
}

func (b *Book) limit(now time.Time, s *state) int {
	switch {
	case s.out || s.dead:
		if now.Before(s.until) {
			return 0
		}
		return 1 // a trial
	case s.samples >= b.sure() && s.slow-b.slow > slowOut:
		return max(1, s.slots/8)
	default:
		return max(1, s.slots>>min(3, int(math.Ceil(s.strikes-0.25))))
	}
}

// sure is how many samples tell an endpoint's speed: twice as many as one of them weighs.
func (b *Book) sure() int { return int(2 / b.gain) }

// Slow is the endpoint's run time in percent of the usual.
func (b *Book) Slow(a netip.AddrPort) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[a]
	if s == nil || s.samples < b.sure() {
		return 100
	}
	return int(100 * min(20, max(0.5, math.Exp(s.slow-b.slow))))
}

// Out lists the ejected endpoints, for peers and operators.
func (b *Book) Out() (list []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for a, s := range b.all {
		if s.out {
			list = append(list, a)
		}
	}
	return list
}

// Hear takes over a peer's verdict that an endpoint fails what it starts.
func (b *Book) Hear(now time.Time, a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[a]
	if s == nil || s.out {
		return
	}
	s.strikes = max(s.strikes, out)
	b.judge(now, s)
}

func (b *Book) ejected() (n int) {
	for _, s := range b.all {
		if s.out {
			n++
		}
	}
	return n
}

func (b *Book) most() int { return max(1, int(math.Ceil(capPart*float64(len(b.all))))) }
