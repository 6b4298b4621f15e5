package grid

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Spans of the heavy load: all kinds three times as often, then the long kind alone eight times.
const (
	heavyFrom = 4 * time.Second
	heavyMid  = 9 * time.Second
	heavyTo   = 13 * time.Second
)

// heavy is the rate of each kind under the heavy load.
func heavy(kind int, at time.Duration) float64 {
	switch {
	case at >= heavyFrom && at < heavyMid:
		return 3
	case at >= heavyMid && at < heavyTo && kind == long:
		return 8
	default:
		return 1
	}
}

// demandLog gathers what VMs log about refusals.
type demandLog struct {
	mu        sync.Mutex
	refused   int // jobs
	untried   int // of them, without asking an owner
	tried     int // owners, in all
	pressures []pressureAt
}

// pressureAt is the pressure that a first VM logged with a refusal.
type pressureAt struct {
	at    time.Time
	value float64
}

var (
	triedRE    = regexp.MustCompile(`msg=answer .* outcome=refused .* tried=(\d+)`)
	pressureRE = regexp.MustCompile(`^time=(\S+) .*msg="job refused".* by="first VM" .* pressure=([\d.]+)`)
)

// Write implements io.Writer; slog writes one line each.
func (l *demandLog) Write(b []byte) (int, error) {
	s := strings.TrimSpace(string(b))
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := triedRE.FindStringSubmatch(s); m != nil {
		n, _ := strconv.Atoi(m[1])
		l.refused++
		l.tried += n
		if n == 0 {
			l.untried++
		}
	}
	if m := pressureRE.FindStringSubmatch(s); m != nil {
		at, _ := time.Parse(time.RFC3339Nano, m[1])
		x, _ := strconv.ParseFloat(m[2], 64)
		l.pressures = append(l.pressures, pressureAt{at, x})
	}
	return len(b), nil
}

func (l *demandLog) meanTries() float64 { return float64(l.tried) / float64(max(1, l.refused)) }

// runHeavy simulates the heavy load.
func runHeavy(t *testing.T, seed uint64, on bool) (*Grid, *demandLog) {
	set := UserSetup(100)
	set.Seed, set.Rate, set.Span = seed, heavy, 13*time.Second
	set.Options.Demand = on
	l := &demandLog{}
	set.Log = l
	return simulate(t, set), l
}

// Guards against refusals that cost four handoffs each, since nobody knows that all owners are full, and against a
// cure that earns less: when each job counted once and nothing else changed, late jobs took the places of jobs in time.
func TestHeavyLoadIsRefusedByTheFirstVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var sum [2]Count
	var earned [2]float64
	var tries [2]demandLog
	for seed := range uint64(numSeeds) {
		for i, on := range []bool{false, true} {
			g, l := runHeavy(t, seed+1, on)
			c := g.Counts(allKinds, heavyFrom, heavyTo+boundOverrun)
			sum[i].Add(c)
			earned[i] += g.Earned(heavyFrom, heavyTo+boundOverrun) / numSeeds
			tries[i].refused += l.refused
			tries[i].tried += l.tried
			tries[i].untried += l.untried
			t.Logf("seed %d, on %v: %+v, earned %.3f, tries %.2f, urgent %+v", seed+1, on, c, g.Earned(heavyFrom, heavyTo+boundOverrun), l.meanTries(), g.Counts(urgent, heavyFrom, heavyTo+boundOverrun))
		}
	}
	for i := range sum {
		t.Logf("on %v: %+v, earned %.3f, tries of refused %.2f, untried %d", i == 1, sum[i], earned[i], tries[i].meanTries(), tries[i].untried)
	}
	is.True(tries[1].meanTries() <= 1.3)
	is.True(sum[1].InTime >= sum[0].InTime)
	is.True(sum[1].Late <= sum[0].Late)
}
