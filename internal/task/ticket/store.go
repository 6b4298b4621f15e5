package ticket

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"dahliawinch/internal/task/job"
)

// Verdict is the result of a ticket check: what the VM may do with the ticket.
type Verdict uint8

// The verdicts.
const (
	Fresh     Verdict = iota // never used: the caller of Claim may start work, once
	Running                  // in use: wait for the same answer
	Ended                    // used, and the answer is available
	Forgotten                // used, and the answer is no longer held
	Late                     // expired before this claim, and no longer known whether it was used
	Elsewhere                // issued by another VM or incarnation
	Forged                   // never issued, or issued to another tenant
	Full                     // the store is at its limit: nothing was started
	Misused                  // already used for a different request
)

// Use is the record of one used ticket.
type Use struct {
	digest  uint64
	done    chan struct{}
	answer  *job.Answer
	outcome job.Outcome
	ended   time.Time
	holdFor time.Duration
}

// Done returns a channel that is closed once the answer is available.
func (u *Use) Done() <-chan struct{} { return u.done }

// Limits bounds a Store.
type Limits struct {
	Term  time.Duration // how long a ticket is valid for starting work
	Uses  int           // max used tickets remembered
	Bytes int64         // max total size of held answers
}

// Store issues tickets and remembers which were used.
//
// If a used ticket were forgotten and presented again, it would start work a second
// time: an endpoint would see two starts for one ticket. So the store forgets a ticket
// only after its term, and keeps the lowest sequence number that it still remembers
// as floor: below it no ticket is Fresh, even if the clock steps back.
type Store struct {
	mu     sync.Mutex
	self   netip.AddrPort
	inc    uint64
	secret []byte
	limits Limits
	next   uint64
	floor  uint64
	uses   map[uint64]*Use
	grants []Grant // in order of issue, and so of expiry
	bytes  int64
	held   []uint64 // sequences with an answer, oldest first
}

// ErrFull is returned when no more tickets can be outstanding.
var ErrFull = errors.New("too many tickets outstanding")

// NewStore returns the store of one incarnation; secret must be random for each process.
func NewStore(self netip.AddrPort, inc uint64, secret []byte, limits Limits) *Store {
	return &Store{self: self, inc: inc, secret: secret, limits: limits, uses: map[uint64]*Use{}}
}

// Issue grants n tickets to a tenant.
func (s *Store) Issue(now time.Time, tenant string, n int) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purge(now)
	if len(s.grants) >= s.limits.Uses {
		return "", ErrFull
	}
	g := Grant{VM: s.self, Inc: s.inc, Base: s.next, Count: n, Ends: now.Add(s.limits.Term), Tenant: tenant}
	if k := len(s.grants); k > 0 && g.Ends.Before(s.grants[k-1].Ends) {
		g.Ends = s.grants[k-1].Ends // the clock stepped back; keep expiry in order
	}
	text, err := seal(s.secret, g)
	if err != nil {
		return "", fmt.Errorf("issue %d tickets: %w", n, err)
	}
	s.next += uint64(n)
	s.grants = append(s.grants, g)
	return text, nil
}

// Claim checks a ticket and marks it as used. After Fresh the caller owns the use and
// must call End. digest identifies the request: a ticket must not get the answer to a
// different request.
func (s *Store) Claim(now time.Time, t Ticket, tenant string, digest uint64) (*Use, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.verify(t, tenant); !ok {
		return nil, v
	}
	s.purge(now)
	if u := s.uses[t.Seq()]; u != nil {
		if digest != u.digest {
			return nil, Misused
		}
		return u, s.useState(now, u)
	}
	if t.Seq() < s.floor || now.After(t.Ends) {
		return nil, Late
	}
	if len(s.uses) >= s.limits.Uses {
		return nil, Full
	}
	u := &Use{digest: digest, done: make(chan struct{})}
	s.uses[t.Seq()] = u
	return u, Fresh
}

// Void queries a ticket and, if it was not used, prevents any later use.
//
// A copy of the submission may still be in transit. If the query only read the state,
// the caller would get "not run" and the copy would start afterwards. So the query uses
// up a fresh ticket, with a refusal as its answer.
func (s *Store) Void(now time.Time, t Ticket, tenant string) (*Use, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.verify(t, tenant); !ok {
		return nil, v
	}
	s.purge(now)
	if u := s.uses[t.Seq()]; u != nil {
		return u, s.useState(now, u)
	}
	if t.Seq() < s.floor || now.After(t.Ends) {
		return nil, Late
	}
	if len(s.uses) >= s.limits.Uses {
		return nil, Full
	}
	u := &Use{done: make(chan struct{}), ended: now, holdFor: s.limits.Term, outcome: job.Refused}
	u.answer = job.Refuse(job.Withdrawn, 0, "asked after before it was used; it can't be used any more")
	close(u.done)
	s.uses[t.Seq()] = u
	return u, Fresh
}

func (s *Store) verify(t Ticket, tenant string) (Verdict, bool) {
	if t.VM != s.self || t.Inc != s.inc {
		return Elsewhere, false
	}
	if !t.authentic(s.secret) || t.Tenant != tenant {
		return Forged, false
	}
	return Fresh, true
}

func (s *Store) useState(now time.Time, u *Use) Verdict {
	select {
	case <-u.done:
	default:
		return Running
	}
	// An answer past its hold time is not repeated: a balance read minutes ago is outdated.
	if u.outcome == job.Refused && u.answer != nil {
		return Ended // nothing ran, and that never becomes outdated
	}
	if u.answer == nil || now.Sub(u.ended) > u.holdFor {
		return Forgotten
	}
	return Ended
}

// End stores the answer of a use for the hold time of its class.
func (s *Store) End(now time.Time, t Ticket, u *Use, a *job.Answer, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.answer, u.outcome, u.ended, u.holdFor = a, a.Outcome, now, hold
	close(u.done)
	if s.uses[t.Seq()] != u {
		return // its term ended while it ran; later claims get Late
	}
	s.bytes += answerBytes(a)
	s.held = append(s.held, t.Seq())
	for s.bytes > s.limits.Bytes && len(s.held) > 0 {
		s.dropAnswer(s.held[0])
		s.held = s.held[1:]
	}
}

// Answer returns the answer of an ended use, or nil if it is not held.
func (s *Store) Answer(u *Use) *job.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.answer
}

// Outcome returns the outcome of an ended use, even if the answer is no longer held.
func (s *Store) Outcome(u *Use) job.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.outcome
}

// Uses returns the number of used tickets that are remembered.
func (s *Store) Uses() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uses)
}

func (s *Store) dropAnswer(seq uint64) {
	if u := s.uses[seq]; u != nil && u.answer != nil {
		s.bytes -= answerBytes(u.answer)
		u.answer = nil
	}
}

// purge forgets the grants whose term is over, with their uses and answers.
func (s *Store) purge(now time.Time) {
	for len(s.grants) > 0 && now.After(s.grants[0].Ends) {
		g := s.grants[0]
		s.grants = s.grants[1:]
		s.floor = g.Base + uint64(g.Count)
		for seq := g.Base; seq < s.floor; seq++ {
			s.dropAnswer(seq)
			delete(s.uses, seq)
		}
	}
	for len(s.held) > 0 && s.held[0] < s.floor {
		s.held = s.held[1:]
	}
}

func answerBytes(a *job.Answer) int64 {
	n := int64(len(a.Detail)) + 64
	for _, r := range a.Results {
		n += int64(len(r))
	}
	return n
}
