package plan_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/conf/plan"
)

func ExamplePlan_Find() {
	p := plan.Plan{Queues: []plan.Queue{{Name: "all", Host: "h", Prefix: "/"}, {Name: "proofs", Host: "h", Prefix: "/proofs/"}}}
	fmt.Println(p.Find("h", "/proofs/17").Name, p.Find("h", "/else/17").Name, p.Find("other", "/proofs/17") == nil)
	// Output: proofs all true
}

func TestNoQueueOfAnotherHost(t *testing.T) {
	is := is.New(t)
	is.True((&plan.Plan{}).Find("h", "/") == nil)
}
