package parts

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/job"
)

var t0 = time.Unix(1_700_000_000, 0)

// maxTries is how many owners are asked to take a part; see route.MaxTries.
const maxTries = 4

// twoParts returns a job of five tasks at two owners, with the calls 1 and 2.
func twoParts() *Gather {
	n := uint64(0)
	g := New([]Share{{vm(1), 3}, {vm(2), 2}}, func() uint64 { n++; return n })
	for _, p := range g.Parts() {
		g.Sent(t0, p, p.Owner)
	}
	return g
}

var (
	refused = job.Answer{Outcome: job.Refused, Reason: job.Overload, Retry: time.Second}
	done    = job.Answer{Outcome: job.Done}
)

func TestJobIsDoneWithItsLastPart(t *testing.T) {
	is := is.New(t)
	g := twoParts()
	is.Equal(g.Answered(t0, 2, vm(2), done, false), Step{})
	is.Equal(g.Answered(t0, 2, vm(2), done, false), Step{}) // repeated
	s := g.Answered(t0, 1, vm(1), done, false)
	is.Equal(s.Answer.Outcome, job.Done)
	is.Equal(len(s.Cancel), 0)
}

// Guards against a part that runs at two owners: an owner that refused it answers once more after it has moved.
func TestOnlyTheCurrentOwnerAnswersAPart(t *testing.T) {
	is := is.New(t)
	g := twoParts()
	p := g.Answered(t0, 1, vm(1), refused, true).Move
	is.Equal(p.First, 0)
	is.Equal(g.Holders(p), []netip.AddrPort{vm(2)})
	g.Sent(t0, p, vm(3))
	is.Equal(g.Answered(t0, 1, vm(1), refused, true), Step{})
	is.Equal(p.Owner, vm(3))
}

// Guards against a refusal whose caller tries again while a cancelled part still runs.
func TestStuckJobIsRefusedOnlyOnceAllPartsAre(t *testing.T) {
	stuck := func() *Gather {
		g := twoParts()
		g.Answered(t0, 1, vm(1), refused, true)
		s := g.Stuck(t0)
		is.New(t).True(s.Answer == nil && len(s.Cancel) == 1 && s.Cancel[0].Call == 2)
		return g
	}
	for name, x := range map[string]struct {
		next func(g *Gather) Step
		want job.Outcome
	}{
		"refused":       {func(g *Gather) Step { return g.Answered(t0, 2, vm(2), refused, true) }, job.Refused},
		"done":          {func(g *Gather) Step { return g.Answered(t0, 2, vm(2), done, false) }, job.Unknown},
		"failed":        {func(g *Gather) Step { return g.Answered(t0, 2, vm(2), job.Answer{Outcome: job.Failed}, false) }, job.Unknown},
		"owner lost":    {func(g *Gather) Step { return g.Lost(vm(2), job.Answer{Outcome: job.Unknown}) }, job.Unknown},
		"no answer":     {func(g *Gather) Step { return g.Expired(t0.Add(settleWait)) }, job.Unknown},
		"caller leaves": {func(g *Gather) Step { return g.End(job.Answer{Outcome: job.Unknown}) }, job.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := stuck()
			is.Equal(g.Expired(t0.Add(settleWait-1)), Step{})
			is.Equal(x.next(g).Answer.Outcome, x.want)
		})
	}
}

// owners is a model of the owners in TestGatherKeepsItsPromises: what they do with the parts that they have.
type owners struct {
	t     *rapid.T
	g     *Gather
	has   map[uint64]netip.AddrPort // by call, until the owner has answered
	begun map[uint64]bool
	done  map[uint64]bool
	out   *job.Answer
}

// apply carries out a step, and checks that the job is answered once.
func (o *owners) apply(s Step) {
	for s.Move != nil {
		s = o.move(s.Move)
	}
	if s.Answer != nil {
		if o.out != nil {
			o.t.Fatal("answered twice")
		}
		o.out = s.Answer
	}
}

// move gives a part to an owner that the rules allow, or to none.
func (o *owners) move(p *Part) Step {
	if vm, ok := o.has[p.Call]; ok {
		o.t.Fatalf("part %d moves while %s has it", p.Call, vm)
	}
	not := append(o.g.Holders(p), p.Tried...)
	for n := 1; n <= 6 && len(p.Tried) < maxTries; n++ {
		to, free := vm(n), true
		for _, x := range not {
			free = free && x != to
		}
		if !free {
			continue
		}
		if rapid.IntRange(0, 4).Draw(o.t, "unreachable") == 0 {
			o.g.Unsent(p, to)
			continue
		}
		o.g.Sent(t0, p, to)
		for call, vm := range o.has {
			if vm == to {
				o.t.Fatalf("parts %d and %d at %s", call, p.Call, to)
			}
		}
		o.has[p.Call] = to
		return Step{}
	}
	return o.g.Stuck(t0)
}

// answer lets an owner end a part at random, truthfully: what has begun is not refused.
func (o *owners) answer(call uint64) {
	vm, a := o.has[call], refused
	if rapid.Bool().Draw(o.t, "begins") || o.begun[call] {
		o.begun[call] = true
		a = job.Answer{Outcome: rapid.SampledFrom([]job.Outcome{job.Done, job.Done, job.Done, job.Failed, job.Unknown}).Draw(o.t, "end")}
		if a.Outcome == job.Done {
			o.done[call] = true
		}
	}
	delete(o.has, call)
	o.apply(o.g.Answered(t0, call, vm, a, rapid.IntRange(0, 5).Draw(o.t, "final") > 0))
}

// Guards, over random sequences of answers, losses and expiries, against a job that is refused after something of it has
// begun or while it may still begin, that is done without all of its tasks, that has two parts at one owner or a part at
// two, or that never ends.
func TestGatherKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []Share
		tasks := 0
		for i := range rapid.IntRange(2, 4).Draw(t, "parts") {
			n := rapid.IntRange(1, 5).Draw(t, "count")
			shares, tasks = append(shares, Share{vm(i + 1), n}), tasks+n
		}
		n := uint64(0)
		o := &owners{t: t, g: New(shares, func() uint64 { n++; return n }), has: map[uint64]netip.AddrPort{}, begun: map[uint64]bool{}, done: map[uint64]bool{}}
		next := 0
		for _, p := range o.g.Parts() {
			if p.First != next {
				t.Fatalf("part from %d, want %d", p.First, next)
			}
			next += p.Count
			o.g.Sent(t0, p, p.Owner)
			o.has[p.Call] = p.Owner
		}
		if next != tasks {
			t.Fatalf("%d of %d tasks", next, tasks)
		}
		for o.out == nil && len(o.has) > 0 {
			call := rapid.Uint64Range(1, n).Draw(t, "call")
			vm, ok := o.has[call]
			switch {
			case !ok:
			case rapid.IntRange(0, 9).Draw(t, "lost") == 0:
				o.apply(o.g.Lost(vm, job.Answer{Outcome: job.Unknown, Reason: job.Silent}))
			case rapid.IntRange(0, 9).Draw(t, "starts") == 0:
				o.begun[call] = true
			default:
				o.answer(call)
			}
		}
		if o.out == nil {
			t.Fatal("all parts were answered, the job was not")
		}
		if o.out.Outcome == job.Refused && (len(o.begun) > 0 || len(o.has) > 0) {
			t.Fatalf("refused with %v begun and %v not answered", o.begun, o.has)
		}
		if o.out.Outcome == job.Done && len(o.done) != len(shares) {
			t.Fatalf("done with %d of %d parts", len(o.done), len(shares))
		}
		if len(o.g.End(job.Answer{}).Cancel) > 0 {
			t.Fatal("a second end")
		}
	})
}
