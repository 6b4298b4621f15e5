package owner

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Loss is an endpoint that has fallen silent or was lost.
type Loss struct {
	Endpoint string        // id of one life
	Age      time.Duration // since the first sign
}

// loss is one of this owner or another.
type loss struct {
	at  time.Time // of the first sign
	own bool
}

const (
	// lossKept is how long a loss is kept: until the lease of what ran there has run out, and all that fell
	// silent about then is known.
	lossKept = 4 * time.Second
	// lossSame is up to how far apart two words of one loss may be: they are under way for different times.
	lossSame = 500 * time.Millisecond
	// mostLosses bounds those of a heartbeat. More say no more: no job was on most of so many.
	mostLosses = 32
)

// missed notes the first sign that an endpoint is lost and returns when that was.
func (b *Book) missed(now time.Time, id string) time.Time {
	l, ok := b.losses[id]
	if !ok {
		l = loss{now, true}
		b.losses[id] = l
	}
	return l.at
}

// found forgets the loss of an endpoint that answers again.
func (b *Book) found(id string) {
	if b.losses[id].own {
		delete(b.losses, id)
	}
}

// missing counts the endpoints that were lost about a time.
func (b *Book) missing(at time.Time) (n int) {
	for _, l := range b.losses {
		if l.at.Sub(at).Abs() <= cohortFor {
			n++
		}
	}
	return n
}

// Losses lists endpoints that this owner has lost lately, the newest first, for the others.
//
// What goes wrong without it: endpoints of many owners go down in one moment. Each owner sees few of them, one
// job was on most of those, and its tasks are suspected. One notices "task suspected" at many owners at once, and
// jobs that are given up though nothing is wrong with them.
func (b *Book) Losses(now time.Time) (all []Loss) {
	for id, l := range b.losses {
		switch age := now.Sub(l.at); {
		case age > lossKept:
			delete(b.losses, id)
		case l.own && age <= tellFor:
			all = append(all, Loss{id, age})
		}
	}
	slices.SortFunc(all, func(x, y Loss) int { return cmp.Or(cmp.Compare(x.Age, y.Age), strings.Compare(x.Endpoint, y.Endpoint)) })
	return all[:min(len(all), mostLosses)]
}

// Miss takes in that another owner has lost an endpoint. One that goes down and up is lost anew each time.
func (b *Book) Miss(now time.Time, l Loss) {
	at := now.Add(-l.Age)
	if old, ok := b.losses[l.Endpoint]; l.Age <= lossKept && (!ok || (!old.own && at.Sub(old.at) > lossSame)) {
		b.losses[l.Endpoint] = loss{at: at}
	}
}
