package demand

import "time"

const (
	// turnCredit is the part of a turn that each admission of another job of the rank adds. A late answer is worth a
	// fifth of one in time, so that one in fifty costs at most 2 % of what a rank earns; one in twenty cost 3 % of the
	// jobs in time, as callers that were refused for it came back as well.
	turnCredit = 0.02
	// maxCredit is how many turns may be saved up, so that a calm hour does not let a crowd of returning callers in.
	maxCredit = 2
	// turnMemory is how long a returning caller that was refused holds back later ones: longer than the least time
	// after which callers retry, and short enough that one that has gone elsewhere delays nobody for long.
	turnMemory = 500 * time.Millisecond
)

// Turns decides, at one owner and for one rank, which callers that were refused elsewhere are served although others
// are in time for their objective and they no longer are: the one whose first attempt is the oldest, once for each
// fifty admissions of others.
//
// Without this a caller that was refused once is refused for as long as more comes than can be done, since the time it
// has waited counts against its objective while callers who are new are admitted.
type Turns struct {
	credit   float64
	oldest   time.Time // oldest first attempt of those refused lately
	oldestAt time.Time // when it was refused last
}

// Admit counts an admission of a job that is not given a turn.
func (t *Turns) Admit() { t.credit = min(maxCredit, t.credit+turnCredit) }

// Take reports whether a returning caller with the given first attempt is served now; the caller of Take has checked
// that its answer can still be of use. Otherwise the caller is remembered for a while.
func (t *Turns) Take(now, first time.Time) bool {
	known := !t.oldestAt.IsZero() && now.Sub(t.oldestAt) <= turnMemory
	isOldest := !known || !first.After(t.oldest)
	if isOldest && t.credit >= 1 {
		t.credit--
		t.oldestAt = time.Time{}
		return true
	}
	if isOldest {
		t.oldest, t.oldestAt = first, now
	}
	return false
}
