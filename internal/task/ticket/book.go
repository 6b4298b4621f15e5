package ticket

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"dahliawinch/internal/task/job"
)

// Verdict says what a VM may do with a ticket.
type Verdict uint8

// The verdicts.
const (
	Fresh     Verdict = iota // never used: the caller of Claim may start work, once
	Running                  // in use: wait for the same answer
	Ended                    // used, and the answer is at hand
	Forgotten                // used, and the answer is no longer held
	Late                     // ended before this claim, and whether it was used isn't remembered
	Elsewhere                // of another VM or incarnation
	Forged                   // never issued, or to another tenant
	Full                     // the book holds all it may: nothing was started
	Misused                  // used before for another request
)

// Use is what the book remembers of one used ticket.
type Use struct {
	mark    uint64
	done    chan struct{}
	answer  *job.Answer
	outcome job.Outcome
	ended   time.Time
	hold    time.Duration
}

// Done is closed when the answer is there.
func (u *Use) Done() <-chan struct{} { return u.done }

// Limits bound the book.
type Limits struct {
	Term  time.Duration // how long a ticket may start work
	Uses  int           // used tickets remembered
	Bytes int64         // of answers held
}

// Book issues tickets and remembers which were used.
//
// What may go wrong: a used ticket is forgotten, comes again and starts work a
// second time. One would notice a second start for one ticket at an endpoint.
// The book forgets a ticket only after its term, and keeps the lowest sequence
// that it still remembers: below that floor nothing is fresh, even if the clock
// steps back.
type Book struct {
	mu     sync.Mutex
	self   netip.AddrPort
	inc    uint64
	secret []byte
	limits Limits
	next   uint64
	floor  uint64
	uses   map[uint64]*Use
	grants []Grant // in order of issue, hence of end
	bytes  int64
	held   []uint64 // sequences with an answer, oldest first
}

// ErrFull is returned when no more tickets can be outstanding.
var ErrFull = errors.New("too many tickets outstanding")

// NewBook returns the book of one incarnation; secret must be random for each process.
func NewBook(self netip.AddrPort, inc uint64, secret []byte, limits Limits) *Book {
	return &Book{self: self, inc: inc, secret: secret, limits: limits, uses: map[uint64]*Use{}}
}

// Issue grants n tickets to a tenant.
func (b *Book) Issue(now time.Time, tenant string, n int) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.purge(now)
	if len(b.grants) >= b.limits.Uses {
		return "", ErrFull
	}
	g := Grant{VM: b.self, Inc: b.inc, Base: b.next, Count: n, Ends: now.Add(b.limits.Term), Tenant: tenant}
	if k := len(b.grants); k > 0 && g.Ends.Before(b.grants[k-1].Ends) {
		g.Ends = b.grants[k-1].Ends // the clock stepped back; ends stay in order
	}
	text, err := seal(b.secret, g)
	if err != nil {
		return "", fmt.Errorf("issue %d tickets: %w", n, err)
	}
	b.next += uint64(n)
	b.grants = append(b.grants, g)
	return text, nil
}

// Claim judges a ticket; after Fresh the caller owns the use and must End it.
// The mark is a digest of the request: the same ticket must not get the answer
// to another request.
func (b *Book) Claim(now time.Time, t Ticket, tenant string, mark uint64) (*Use, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.judge(t, tenant); !ok {
		return nil, v
	}
	b.purge(now)
	if u := b.uses[t.Seq()]; u != nil {
		if mark != u.mark {
			return nil, Misused
		}
		return u, b.look(now, u)
	}
	if t.Seq() < b.floor || now.After(t.Ends) {
		return nil, Late
	}
	if len(b.uses) >= b.limits.Uses {
		return nil, Full
	}
	u := &Use{mark: mark, done: make(chan struct{})}
	b.uses[t.Seq()] = u
	return u, Fresh
}

// Void asks after a ticket and makes sure that one not used so far never is.
//
// A copy of the submission may still be on its way. If asking only looked, the
// caller would be told "not run" and the copy would start afterwards; so a fresh
// ticket is used up by the question, with a refusal as its answer.
func (b *Book) Void(now time.Time, t Ticket, tenant string) (*Use, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.judge(t, tenant); !ok {
		return nil, v
	}
	b.purge(now)
	if u := b.uses[t.Seq()]; u != nil {
		return u, b.look(now, u)
	}
	if t.Seq() < b.floor || now.After(t.Ends) {
		return nil, Late
	}
	if len(b.uses) >= b.limits.Uses {
		return nil, Full
	}
	u := &Use{done: make(chan struct{}), ended: now, hold: b.limits.Term, outcome: job.Refused}
	u.answer = job.Refuse(job.Withdrawn, 0, "asked after before it was used; it can't be used any more")
	close(u.done)
	b.uses[t.Seq()] = u
	return u, Fresh
}

func (b *Book) judge(t Ticket, tenant string) (Verdict, bool) {
	if t.VM != b.self || t.Inc != b.inc {
		return Elsewhere, false
	}
	if !t.genuine(b.secret) || t.Tenant != tenant {
		return Forged, false
	}
	return Fresh, true
}

func (b *Book) look(now time.Time, u *Use) Verdict {
	select {
	case <-u.done:
	default:
		return Running
	}
	// A balance read minutes ago is stale credit: past its hold an answer is not given again.
	if u.outcome == job.Refused && u.answer != nil {
		return Ended // nothing ran, which never grows stale
	}
	if u.answer == nil || now.Sub(u.ended) > u.hold {
		return Forgotten
	}
	return Ended
}

// End stores the answer for as long as its class may hold it.
func (b *Book) End(now time.Time, t Ticket, u *Use, a *job.Answer, hold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.answer, u.outcome, u.ended, u.hold = a, a.Outcome, now, hold
	close(u.done)
	if b.uses[t.Seq()] != u {
		return // its term ended while it ran; later claims are told "late"
	}
	b.bytes += size(a)
	b.held = append(b.held, t.Seq())
	for b.bytes > b.limits.Bytes && len(b.held) > 0 {
		b.drop(b.held[0])
		b.held = b.held[1:]
	}
}

// Answer returns the held answer of an ended use, or nil.
func (b *Book) Answer(u *Use) *job.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return u.answer
}

// Outcome returns how an ended use ended, even when the answer is not held.
func (b *Book) Outcome(u *Use) job.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	return u.outcome
}

// Uses returns how many used tickets are remembered.
func (b *Book) Uses() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.uses)
}

func (b *Book) drop(seq uint64) {
	if u := b.uses[seq]; u != nil && u.answer != nil {
		b.bytes -= size(u.answer)
		u.answer = nil
	}
}

// purge forgets grants whose term is over, except uses that still run.
func (b *Book) purge(now time.Time) {
	for len(b.grants) > 0 && now.After(b.grants[0].Ends) {
		g := b.grants[0]
		b.grants = b.grants[1:]
		b.floor = g.Base + uint64(g.Count)
		for seq := g.Base; seq < b.floor; seq++ {
			b.drop(seq)
			delete(b.uses, seq)
		}
	}
	for len(b.held) > 0 && b.held[0] < b.floor {
		b.held = b.held[1:]
	}
}

func size(a *job.Answer) int64 {
	n := int64(len(a.Detail)) + 64
	for _, r := range a.Results {
		n += int64(len(r))
	}
	return n
}
