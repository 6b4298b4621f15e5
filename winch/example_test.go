package winch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"dahliawinch/internal/tool/judge"
	"dahliawinch/internal/tool/local"
	"dahliawinch/internal/tool/mix"
	"dahliawinch/winch"
)

var start = time.Unix(1_700_000_000, 0)

// A caller submits a job and reads its answer.
func ExampleClient_Submit() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	at, stop := deployment(ctx)
	defer stop()
	c := winch.NewClient(at, "demo-crew")
	a, err := c.Submit(ctx, winch.Job{Class: "render", Deadline: 5 * time.Second, Tasks: []winch.Task{
		{Body: map[string]any{"job": "page", "task": 0, "run": "5ms"}},
		{Body: map[string]any{"job": "page", "task": 1, "run": "5ms"}},
	}})
	fmt.Println(a.Outcome, len(a.Results), err)
	a, _ = c.Submit(ctx, winch.Job{Class: "topup", Tasks: []winch.Task{{Body: map[string]any{"job": "card"}}}})
	fmt.Println(a.Outcome, a.Reason)
	// Output:
	// done 2 <nil>
	// refused ticket
}

// A non-idempotent job needs a ticket: submitted again, it does not run again.
func ExampleClient_Tickets() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	at, stop := deployment(ctx)
	defer stop()
	c := winch.NewClient(at, "demo-crew")
	tickets, err := c.Tickets(ctx, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	topup := winch.Job{Class: "topup", Ticket: tickets[0], Tasks: []winch.Task{{Body: map[string]any{"job": "card"}}}}
	first, _ := c.Submit(ctx, topup)
	second, _ := c.Submit(ctx, topup)
	fmt.Println(first.Outcome, second.Outcome, string(first.Results[0]) == string(second.Results[0]))
	// Output: done done true
}

// deployment starts a small deployment on loopback.
func deployment(ctx context.Context) (at netip.AddrPort, stop func()) {
	shape := local.DefaultShape()
	shape.Domains, shape.VMs, shape.Endpoints = 1, 1, 2
	d, err := local.Start(ctx, shape, judge.New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		panic(err)
	}
	if err := d.Declare(ctx, mix.Document()); err != nil {
		panic(err)
	}
	return d.VMs[0].Settings.Caller, func() { _ = d.Stop() }
}

// An attempt that was sent may be retried only if the endpoint says that it did not start.
func ExampleAttempt() {
	var lost, declined winch.Attempt
	_ = lost.On(winch.Sent)
	_ = lost.On(winch.Lost)
	_ = declined.On(winch.Sent)
	_ = declined.On(winch.Declined)
	fmt.Println(lost.State(), lost.MayRetry())
	fmt.Println(declined.State(), declined.MayRetry())
	// Output:
	// silent false
	// refused true
}

func ExampleNewBudget() {
	b := winch.NewBudget(start, 0.1, 0, 2)
	fmt.Println(b.Spend(start), b.Spend(start), b.Spend(start))
	b.Earn(10) // ten first tries earn one retry
	fmt.Println(b.Spend(start))
	// Output:
	// true true false
	// true
}

func ExampleNewTicketBook() {
	self := netip.MustParseAddrPort("127.0.0.1:7001")
	book := winch.NewTicketBook(self, 1, []byte("random for each process"), winch.TicketLimits{Term: time.Minute, Uses: 100, Bytes: 1 << 20})
	grant, err := book.Issue(start, "crew", 2)
	if err != nil {
		fmt.Println(err)
		return
	}
	t, err := winch.ParseTicket(grant, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	use, v := book.Claim(start, t, "crew", 42)
	fmt.Println(v == winch.FreshTicket)
	_, v = book.Claim(start, t, "crew", 42)
	fmt.Println(v == winch.RunningTicket)
	book.End(start, t, use, &winch.StoredAnswer{Results: [][]byte{[]byte("12.50")}}, time.Minute)
	_, v = book.Claim(start, t, "crew", 42)
	fmt.Println(v == winch.EndedTicket)
	// Output:
	// true
	// true
	// true
}

// The first declaration in the log for a base revision wins.
func ExampleNewFold() {
	f := winch.NewFold(func(json.RawMessage) error { return nil })
	f.Open(0)
	for i, author := range []string{"ana", "bo"} {
		r := winch.Record{Kind: winch.DeclareRecord, Base: 0, Token: "token of " + author, Author: author, Doc: json.RawMessage(`{}`)}
		data, err := r.Encode()
		if err != nil {
			fmt.Println(err)
			return
		}
		f.Apply(int64(i), data)
	}
	cur, _ := f.Current()
	v, _ := f.Verdict("token of bo")
	fmt.Println(cur.Rev, cur.Author, v.Won, v.Author)
	// Output: 1 ana false ana
}

func ExampleNewView() {
	at := netip.MustParseAddrPort
	v := winch.NewView(at("127.0.0.1:1"), "a", start)
	v.Hear(start, winch.Hello{VM: at("127.0.0.1:2"), Inc: 1, Domain: "a"}, &winch.Beat{At: start})
	fmt.Println(v.Members()[0].State)
	v.Tick(start.Add(700 * time.Millisecond))
	fmt.Println(v.Members()[0].State)
	v.Tick(start.Add(3 * time.Second)) // no other peer can be asked
	fmt.Println(v.Members()[0].State)
	// Output:
	// alive
	// suspect
	// gone
}
