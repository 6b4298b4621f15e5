package heap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	rank int
	slot Slot
}

func TestOrderSurvivesRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(func(a, b *item) bool { return a.rank < b.rank }, func(v *item) *Slot { return &v.slot })
		var in []*item
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(in) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(in)-1).Draw(t, "which")
				if !h.Remove(in[i]) || h.Remove(in[i]) {
					t.Fatal("an element in the heap is removed exactly once")
				}
				in = slices.Delete(in, i, i+1)
				continue
			}
			v := &item{rank: rapid.IntRange(0, 9).Draw(t, "rank")}
			h.Push(v)
			in = append(in, v)
		}
		last := -1
		for h.Len() > 0 {
			v := h.Pop()
			if v.rank < last {
				t.Fatalf("popped %d after %d", v.rank, last)
			}
			last = v.rank
			in = in[:len(in)-1]
		}
		if len(in) != 0 {
			t.Fatalf("%d elements were lost", len(in))
		}
	})
}
