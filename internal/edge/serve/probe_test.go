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

// probeTopic is a topic of probes that answers each question.
type probeTopic struct {
	*fakes.Topic[Probe]
	err         error
	callTime    time.Duration // how long a call takes
	answerDelay time.Duration // how long an answer takes
	answers     []Probe
	wg          *sync.WaitGroup
}

// Post implements Presence.
func (p *probeTopic) Post(_ context.Context, q Probe) error {
	time.Sleep(p.callTime)
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
			time.Sleep(p.answerDelay)
			p.Put(a.Domain, a)
		})
	}
	return nil
}

var (
	secondVM = netip.MustParseAddrPort("127.0.0.1:2")
	thirdVM  = netip.MustParseAddrPort("127.0.0.1:3")
)

// Guards against missing a probe's answers, or accepting those to another probe.
func TestProbeResultFollowsAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		probeTopic
		want probeResult
	}{
		"an owner":                       {probeTopic{answers: []Probe{{From: thirdVM}, {From: secondVM, Owns: true}}}, ownerAnswered},
		"a neighbour without endpoints":  {probeTopic{answers: []Probe{{From: secondVM}}}, neighbourAnswered},
		"nobody":                         {probeTopic{}, noneAnswered},
		"a VM of another domain":         {probeTopic{answers: []Probe{{From: thirdVM, Remote: true}}}, remoteAnswered},
		"an owner in another domain":     {probeTopic{answers: []Probe{{From: thirdVM, Remote: true, Owns: true}}}, ownerAnswered},
		"a neighbour and another domain": {probeTopic{answers: []Probe{{From: secondVM}, {From: thirdVM, Remote: true}}}, neighbourAnswered},
		"another probe's answer":         {probeTopic{answers: []Probe{{From: secondVM, To: thirdVM, Call: 1, Owns: true}}}, noneAnswered},
		"too late":                       {probeTopic{answerDelay: minProbeWait + time.Millisecond, answers: []Probe{{From: secondVM, Owns: true}}}, noneAnswered},
		"a slow store":                   {probeTopic{callTime: 100 * time.Millisecond, answerDelay: 450 * time.Millisecond, answers: []Probe{{From: secondVM, Owns: true}}}, ownerAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &c.probeTopic
				p.Topic, p.wg = fakes.NewTopic[Probe](), &sync.WaitGroup{}
				p.Put("a", Probe{From: thirdVM, To: thirdVM, Call: 7, Owns: true}) // from an earlier incarnation
				n := newNode(t)
				n.deps.Presence = p
				got, _, err := n.sendProbe(t.Context(), false)
				is.NoErr(err)
				is.Equal(got, c.want)
				p.wg.Wait()
			})
		})
	}
}

var errStoreDown = errors.New("store away")

// Guards against treating an unavailable store as a loss of all neighbours.
func TestProbeWithoutStoreIsUnknown(t *testing.T) {
	is := is.New(t)
	n := newNode(t)
	n.deps.Presence = &probeTopic{Topic: fakes.NewTopic[Probe](), err: errStoreDown}
	got, _, err := n.sendProbe(t.Context(), false)
	is.True(errors.Is(err, errStoreDown))
	is.Equal(got, resultUnknown)
}

// Guards against leaving questions unanswered, and against answering those meant for other failure domains.
func TestOwnDomainProbesAreAnswered(t *testing.T) {
	is := is.New(t)
	n := newNode(t)
	p := &probeTopic{Topic: fakes.NewTopic[Probe]()}
	n.deps.Presence = p
	now := n.now()
	n.mu.Lock()
	n.claims.Decide(now.Add(time.Minute), false, []claim.Candidate{{Group: claim.Group{Domain: "a"}}}, nil)
	n.mu.Unlock()
	p.Put("a", Probe{Domain: "a", From: secondVM, Call: 1})
	p.Put("b", Probe{Domain: "b", From: thirdVM, Call: 2})
	p.Put("a", Probe{Domain: "a", From: thirdVM, To: secondVM, Call: 1})
	next, err := n.readProbes(0, true)
	is.NoErr(err)
	is.Equal(next, int64(3))
	n.wg.Wait()
	all, _, err := p.Newest(t.Context())
	is.NoErr(err)
	for _, u := range all {
		if u.Key == "a" {
			is.Equal(u.Value, Probe{Domain: "a", From: n.cfg.VM, To: secondVM, Call: 1, Owns: true})
		}
	}
}

// Guards against a wide question that no VM of another failure domain answers, or that all of them answer.
func TestWideProbeIsAnsweredOnceByOtherDomains(t *testing.T) {
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
			n := newNode(t)
			p := &probeTopic{Topic: fakes.NewTopic[Probe]()}
			n.deps.Presence = p
			if c.owns {
				n.mu.Lock()
				n.claims.Decide(n.now().Add(time.Minute), false, []claim.Candidate{{Group: claim.Group{Domain: "b"}}}, nil)
				n.mu.Unlock()
			}
			p.Put("b", Probe{Domain: "b", From: secondVM, Call: 1, Wide: true})
			if c.answered {
				p.Put("b", Probe{Domain: "b", From: thirdVM, To: secondVM, Call: 1, Remote: true})
			}
			from, err := n.readProbes(0, true)
			is.NoErr(err)
			n.wg.Wait()
			b, err := p.Next(t.Context(), from, feed.ReadOptions{})
			is.NoErr(err)
			is.Equal(len(b.Updates), c.want)
			for _, u := range b.Updates {
				is.Equal(u.Value, Probe{Domain: "b", From: n.cfg.VM, To: secondVM, Call: 1, Remote: true, Owns: c.owns})
			}
		})
	}
}
