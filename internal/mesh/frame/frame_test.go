package frame

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dahliawinch/internal/task/batch"
	"dahliawinch/internal/task/job"
)

func samples() []Msg {
	at := netip.MustParseAddrPort("127.0.0.1:7001")
	return []Msg{
		&Hello{VM: at, Inc: 7, Domain: "perth-a"},
		&Heartbeat{At: time.Unix(1_700_000_000, 5), Room: Room{Free: 3, Urgent: 4}, Wait: time.Second, Gone: []netip.AddrPort{at}, Use: map[string]TenantUse{"crew": {Rate: 2, Slots: 1}}},
		&Heartbeat{At: time.Unix(1_700_000_000, 5), Suspects: []Suspect{{Task: "j.0.0.0", Lost: 2}}, Losses: []Loss{{Endpoint: "e2", Age: time.Second}}, Cleared: []Cleared{{Endpoint: "e1", Fence: 1<<53 - 1}}},
		&Heartbeat{At: time.Unix(1_700_000_000, 5), Jobs: []uint64{1, 1<<64 - 1}, Relayed: []uint64{2}, Unheard: []string{"perth-b"}},
		&Heartbeat{At: time.Unix(1_700_000_000, 5), Shared: []Shared{{Pool: "p", Cores: 592, Ranks: []RankUse{{Rank: 2, Used: 198.5, Waiting: 40}}}}},
		&Heartbeat{At: time.Unix(1_700_000_000, 5), Demand: &Demand{Rates: []uint32{1, 300, 70_000}, Cores: 590, Places: []uint32{0, 3, 127}, Waits: []uint32{0, 144, 65_535}}},
		&RunJob{To: 3, Call: 1, Job: batch.Job{ID: "j", Steps: []batch.Step{{Count: 1}}, AskedAt: time.Unix(1_700_000_000, 5)}, Tried: []netip.AddrPort{at}},
		&StartTasks{At: time.Unix(1_700_000_000, 5), Group: 1, Tasks: []Task{{Job: 2, Tenant: "crew", Left: time.Second, Task: job.Task{Body: []byte("x")}}}},
		&TasksAccepted{To: 3, Group: 1, Count: 1},
		&TaskResults{To: 3, Group: 1, Results: []TaskResult{{Job: 2, Outcome: Succeeded, Body: []byte("y")}}},
		&Submit{Call: 1, Req: job.Request{Tenant: "crew", Tasks: []job.Task{{Body: []byte("z")}}}},
		&SubmitReply{To: 3, Call: 1, Answer: job.Answer{Outcome: job.Done, Results: [][]byte{[]byte("r")}}},
		&JobAnswer{To: 3, Call: 1, Answer: job.Answer{Outcome: job.Done}},
		&Document{}, &DocumentRequest{}, &Keepalive{To: 3, Asked: time.Unix(1_700_000_000, 5), Calls: []uint64{1, 2}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	var buf []byte
	for _, m := range samples() {
		var err error
		buf, err = Append(buf, m)
		is.NoErr(err)
	}
	r := bytes.NewReader(buf)
	for _, want := range samples() {
		got, _, err := Read(r)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func FuzzRead(f *testing.F) {
	for _, m := range samples() {
		buf, err := Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, n, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		if n > len(data) {
			t.Fatalf("%d bytes of %d", n, len(data))
		}
		if _, err := Append(nil, m); err != nil {
			t.Fatalf("%T doesn't encode again: %v", m, err)
		}
	})
}
