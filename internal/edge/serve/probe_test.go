package serve

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/mesh/claim"
	"dahliawinch/internal/plat/fakes"
	"dahliawinch/internal/plat/feed"
)

// posted is a topic of probes that answers each question.
type posted struct {
	*fakes.Topic[Probe]
	err     error
	takes   time.Duration // a call
	late    time.Duration // an answer
	answers []Probe
	wg      *sync.WaitGroup
}

// Post implements Presence.
func (p *posted) Post(_ context.Context, q Probe) error {
	time.Sleep(p.takes)
	if p.err != nil {
		return p.err
	}
	p.Put(q.Domain, q)
	for _, a := range p.answers {
		a.Domain = q.Domain
		if a.Call == 0 {
			a.To, a.Call = q.From, q.Call
		}
		p.wg.Go(func() {
			time.Sleep(p.late)
			p.Put(a.Domain, a)
		})
	}
	return nil
}

var (
	probed = netip.MustParseAddrPort("127.0.0.1:2")
	third  = netip.MustParseAddrPort("127.0.0.1:3")
)

// Guards against a probe whose answers are overlooked, or taken from another one.
func TestProbeGoesByItsAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		posted
		want presence
	}{
		"an owner":               {posted{answers: []Probe{{From: third}, {From: probed, Owns: true}}}, ownerAnswered},
		"one that owns nothing":  {posted{answers: []Probe{{From: probed}}}, neighbourAnswered},
		"nobody":                 {posted{}, noneAnswered},
		"a far VM":               {posted{answers: []Probe{{From: third, Far: true}}}, farAnswered},
		"a far owner":            {posted{answers: []Probe{{From: third, Far: true, Owns: true}}}, ownerAnswered},
		"one near, one far":      {posted{answers: []Probe{{From: probed}, {From: third, Far: true}}}, neighbourAnswered},
		"another probe's answer": {posted{answers: []Probe{{From: probed, To: third, Call: 1, Owns: true}}}, noneAnswered},
		"too late":               {posted{late: probeLeast + time.Millisecond, answers: []Probe{{From: probed, Owns: true}}}, noneAnswered},
		"a slow store":           {posted{takes: 100 * time.Millisecond, late: 450 * time.Millisecond, answers: []Probe{{From: probed, Owns: true}}}, ownerAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &c.posted
				p.Topic, p.wg = fakes.NewTopic[Probe](), &sync.WaitGroup{}
				p.Put("a", Probe{From: third, To: third, Call: 7, Owns: true}) // of former days
				n := started(t)
				n.parts.Presence = p
				got, _, err := n.sendProbe(t.Context(), false)
				is.NoErr(err)
				is.Equal(got, c.want)
				p.wg.Wait()
			})
		})
	}
}

var errAway = errors.New("store away")

// Guards against a store that is away and counts as a loss of all neighbours.
func TestProbeWithoutTheStoreSaysNothing(t *testing.T) {
	is := is.New(t)
	n := started(t)
	n.parts.Presence = &posted{Topic: fakes.NewTopic[Probe](), err: errAway}
	got, _, err := n.sendProbe(t.Context(), false)
	is.True(errors.Is(err, errAway))
	is.Equal(got, presenceUnknown)
}

// Guards against questions that are left unanswered, and answers to those of other failure domains.
func TestProbesOfTheOwnDomainAreAnswered(t *testing.T) {
	is := is.New(t)
	n := started(t)
	p := &posted{Topic: fakes.NewTopic[Probe]()}
	n.parts.Presence = p
	now := n.now()
	n.mu.Lock()
	n.claims.Decide(now.Add(time.Minute), false, []claim.Seat{{Group: claim.Group{Domain: "a"}}}, nil)
	n.mu.Unlock()
	p.Put("a", Probe{Domain: "a", From: probed, Call: 1})
	p.Put("b", Probe{Domain: "b", From: third, Call: 2})
	p.Put("a", Probe{Domain: "a", From: third, To: probed, Call: 1})
	next, err := n.readProbes(0, true)
	is.NoErr(err)
	is.Equal(next, int64(3))
	n.wg.Wait()
	all, _, err := p.Newest(t.Context())
	is.NoErr(err)
	for _, u := range all {
		if u.Key == "a" {
			is.Equal(u.Value, Probe{Domain: "a", From: n.cfg.VM, To: probed, Call: 1, Owns: true})
		}
	}
}

// Guards against a wide question that no other failure domain answers, or all of them do.
func TestWideProbesAreAnsweredOnceFromAfar(t *testing.T) {
	for name, c := range map[string]struct {
		owns, answered bool
		want           int
	}{
		"first":           {false, false, 1},
		"answered before": {false, true, 0},
		"owner":           {true, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := started(t)
			p := &posted{Topic: fakes.NewTopic[Probe]()}
			n.parts.Presence = p
			if c.owns {
				n.mu.Lock()
				n.claims.Decide(n.now().Add(time.Minute), false, []claim.Seat{{Group: claim.Group{Domain: "b"}}}, nil)
				n.mu.Unlock()
			}
			p.Put("b", Probe{Domain: "b", From: probed, Call: 1, Wide: true})
			if c.answered {
				p.Put("b", Probe{Domain: "b", From: third, To: probed, Call: 1, Far: true})
			}
			from, err := n.readProbes(0, true)
			is.NoErr(err)
			n.wg.Wait()
			b, err := p.Next(t.Context(), from, feed.Ask{})
			is.NoErr(err)
			is.Equal(len(b.All), c.want)
			for _, u := range b.All {
				is.Equal(u.Value, Probe{Domain: "b", From: n.cfg.VM, To: probed, Call: 1, Far: true, Owns: c.owns})
			}
		})
	}
}
