package owner

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Loss is an endpoint that fell silent or was lost.
type Loss struct {
	Endpoint string        // ID of one incarnation
	Age      time.Duration // since the first sign
}

// loss is a Loss seen by this owner or reported by another.
type loss struct {
	at  time.Time // first sign
	own bool
}

const (
	// lossRetention is how long a loss is kept: until the lease of its runs has run out and everything
	// that fell silent at about the same time is known.
	lossRetention = 4 * time.Second
	// sameLossWindow is how far apart two reports of one loss may be, since their delays differ.
	sameLossWindow = 500 * time.Millisecond
	// maxLosses is the limit for one heartbeat. More change no verdict: no job ran on most of that many.
	maxLosses = 32
)

// noteLoss records the first sign of an endpoint's loss, if it is new, and returns its time.
func (sc *Scheduler) noteLoss(now time.Time, id string) time.Time {
	l, ok := sc.losses[id]
	if !ok {
		l = loss{now, true}
		sc.losses[id] = l
	}
	return l.at
}

// clearLoss forgets this owner's loss of an endpoint that answers again.
func (sc *Scheduler) clearLoss(id string) {
	if sc.losses[id].own {
		delete(sc.losses, id)
	}
}

// countLosses returns how many endpoints were lost at about the given time.
func (sc *Scheduler) countLosses(at time.Time) (n int) {
	for _, l := range sc.losses {
		if l.at.Sub(at).Abs() <= outageWindow {
			n++
		}
	}
	return n
}

// Losses lists the endpoints that this owner lost lately, the newest first, to be sent to the others.
//
// Without it, when endpoints of many owners fail at once, each sees only a few, most of which ran the
// same job, and suspects its tasks: "task suspected" at many owners, and innocent jobs given up.
func (sc *Scheduler) Losses(now time.Time) (all []Loss) {
	for id, l := range sc.losses {
		switch age := now.Sub(l.at); {
		case age > lossRetention:
			delete(sc.losses, id)
		case l.own && age <= shareFor:
			all = append(all, Loss{id, age})
		}
	}
	slices.SortFunc(all, func(x, y Loss) int { return cmp.Or(cmp.Compare(x.Age, y.Age), strings.Compare(x.Endpoint, y.Endpoint)) })
	return all[:min(len(all), maxLosses)]
}

// AddLoss records another owner's loss of an endpoint. Each restart of one is a new loss.
func (sc *Scheduler) AddLoss(now time.Time, l Loss) {
	at := now.Add(-l.Age)
	if old, ok := sc.losses[l.Endpoint]; l.Age <= lossRetention && (!ok || (!old.own && at.Sub(old.at) > sameLossWindow)) {
		sc.losses[l.Endpoint] = loss{at: at}
	}
}
