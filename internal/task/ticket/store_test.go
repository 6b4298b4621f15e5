package ticket

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dahliawinch/internal/task/job"
)

var (
	self  = netip.MustParseAddrPort("127.0.0.1:7001")
	began = time.Unix(1_700_000_000, 0)
	wide  = Limits{Term: time.Minute, Uses: 1000, Bytes: 1 << 20}
)

func open(t testing.TB, inc uint64, limits Limits) *Store {
	t.Helper()
	return NewStore(self, inc, []byte{byte(inc), 2, 3}, limits)
}

func mustPick(t testing.TB, grant string, nth int) Ticket {
	t.Helper()
	tk, err := Parse(Pick(grant, nth))
	if err != nil {
		t.Fatal(err)
	}
	return tk
}

// Guards against work that starts twice for one ticket, such as a top-up applied twice:
// for any mix of claims, answers, clock steps both ways and floods of other tickets, a
// used ticket must not be forgotten while it can still start work.
func TestTicketStartsWorkOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := open(t, 1, Limits{Term: time.Minute, Uses: 8, Bytes: 300})
		now := began
		var tickets []Ticket
		starts := map[uint64]int{}
		open := map[uint64]*Use{}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				n := rapid.IntRange(1, 3).Draw(rt, "count")
				g, err := b.Issue(now, "prairie", n)
				if errors.Is(err, ErrFull) {
					continue
				}
				if err != nil {
					rt.Fatal(err)
				}
				for i := range n {
					tickets = append(tickets, mustPick(t, g, i))
				}
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(-90, 90).Draw(rt, "seconds")) * time.Second)
			case 2, 3:
				if len(tickets) > 0 && rapid.IntRange(0, 9).Draw(rt, "ask") == 0 {
					tk := rapid.SampledFrom(tickets).Draw(rt, "asked")
					if _, v := b.Void(now, tk, "prairie"); v == Fresh {
						starts[tk.Seq()]++ // the caller got "not run": counts as its one use
						if starts[tk.Seq()] > 1 {
							rt.Fatalf("ticket %d was withdrawn after a start", tk.Seq())
						}
					}
				}
				if len(tickets) == 0 {
					continue
				}
				tk := rapid.SampledFrom(tickets).Draw(rt, "ticket")
				if u, v := b.Claim(now, tk, "prairie", 1); v == Fresh {
					starts[tk.Seq()]++
					open[tk.Seq()] = u
					if starts[tk.Seq()] > 1 {
						rt.Fatalf("ticket %d started twice", tk.Seq())
					}
				}
			default:
				for _, tk := range tickets {
					if u := open[tk.Seq()]; u != nil {
						b.End(now, tk, u, &job.Answer{Outcome: job.Done}, time.Second)
						delete(open, tk.Seq())
						break
					}
				}
			}
		}
	})
}

func TestAnswerIsRepeatedOnlyWhileHeld(t *testing.T) {
	is := is.New(t)
	b := open(t, 1, wide)
	g, err := b.Issue(began, "prairie", 1)
	is.NoErr(err)
	tk := mustPick(t, g, 0)
	u, v := b.Claim(began, tk, "prairie", 1)
	is.Equal(v, Fresh)
	_, v = b.Claim(began, tk, "prairie", 1)
	is.Equal(v, Running)
	b.End(began, tk, u, &job.Answer{Outcome: job.Done, Results: [][]byte{[]byte("12.50")}}, 2*time.Second)
	u, v = b.Claim(began.Add(time.Second), tk, "prairie", 1)
	is.Equal(v, Ended)
	is.Equal(string(b.Answer(u).Results[0]), "12.50")
	_, v = b.Claim(began.Add(3*time.Second), tk, "prairie", 1)
	is.Equal(v, Forgotten) // an old balance would be outdated
}

// Guards against a caller who is answered "not run" and charged anyway: its submission
// is delayed, it queries the ticket, then the submission arrives. The query must make
// the ticket unusable.
func TestQueryWithdrawsFreshTicket(t *testing.T) {
	is := is.New(t)
	b := open(t, 1, wide)
	g, err := b.Issue(began, "prairie", 1)
	is.NoErr(err)
	_, v := b.Void(began, mustPick(t, g, 0), "prairie")
	is.Equal(v, Fresh)
	_, v = b.Claim(began, mustPick(t, g, 0), "prairie", 0)
	is.Equal(v, Ended)
}

func TestTicketIsRejectedForAnotherRequest(t *testing.T) {
	is := is.New(t)
	b := open(t, 1, wide)
	g, err := b.Issue(began, "prairie", 1)
	is.NoErr(err)
	_, v := b.Claim(began, mustPick(t, g, 0), "prairie", 1)
	is.Equal(v, Fresh)
	_, v = b.Claim(began, mustPick(t, g, 0), "prairie", 2)
	is.Equal(v, Misused)
}

func TestInvalidTicketsAreRejected(t *testing.T) {
	is := is.New(t)
	b := open(t, 1, wide)
	g, err := b.Issue(began, "prairie", 2)
	is.NoErr(err)
	_, v := b.Claim(began, mustPick(t, g, 0), "quokka", 1)
	is.Equal(v, Forged)
	other := NewStore(self, 1, []byte("another secret"), wide)
	_, v = other.Claim(began, mustPick(t, g, 0), "prairie", 1)
	is.Equal(v, Forged)
	_, v = open(t, 2, wide).Claim(began, mustPick(t, g, 0), "prairie", 1)
	is.Equal(v, Elsewhere)
	for _, text := range []string{"", ".", g, g + ".2", g + ".-1", "AAAA.0", g + ".x"} {
		_, err := Parse(text)
		is.True(err != nil)
	}
}

func FuzzParse(f *testing.F) {
	b := NewStore(self, 1, []byte("s"), wide)
	g, err := b.Issue(began, "prairie", 3)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(Pick(g, 1))
	f.Add("AAAA.0")
	f.Fuzz(func(t *testing.T, text string) {
		tk, err := Parse(text)
		if err != nil {
			return
		}
		if _, v := NewStore(self, 1, []byte("other"), wide).Claim(began, tk, tk.Tenant, 1); v == Fresh {
			t.Fatalf("a ticket sealed with another secret is fresh: %q", text)
		}
	})
}
