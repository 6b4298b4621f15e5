package doc

import (
	"fmt"
	"testing"
	"time"

	"dahliawinch/internal/task/job"

	"dahliawinch/internal/conf/valid"
)

// BenchmarkParse parses documents with few and with many tenants.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{4, 490} {
		d := &Document{
			Service: "s", Classes: map[string]Class{"r": {Band: job.Routine, Deadline: valid.Span(time.Second)}},
			Tenants: map[string]Tenant{}, Limits: Limits{Tasks: 1, Bytes: 1, Deadline: valid.Span(time.Minute)},
		}
		for i := range n {
			d.Tenants[fmt.Sprint("team-", i)] = Tenant{Weight: 1, Keys: []string{Hash(fmt.Sprint(i))}}
		}
		text, err := d.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n, "-tenants"), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for range b.N {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkKeyring(b *testing.B) {
	d := &Document{Tenants: map[string]Tenant{}}
	for i := range 490 {
		d.Tenants[fmt.Sprint("team-", i)] = Tenant{Keys: []string{Hash(fmt.Sprint(i))}}
	}
	r := NewKeyring(d)
	for range b.N {
		r.Tenant("17")
	}
}
