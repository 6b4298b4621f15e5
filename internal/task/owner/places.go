package owner

import (
	"cmp"
	"slices"
	"time"
)

// place is room for one task of some need.
type place struct {
	at    time.Duration // from now until it is free
	speed float64       // of its endpoint
}

func (p place) compare(o place) int { return cmp.Compare(p.at, o.at) }

// end returns when a task that takes d on a usual endpoint ends if it starts here as soon as possible.
func (p place) end(d time.Duration) time.Duration {
	if p.speed == 1 || p.speed <= 0 {
		return p.at + d
	}
	return p.at + time.Duration(float64(d)/p.speed)
}

// placeList lists places, the one that is free first at the start.
type placeList []place

// occupyFirst lets a task take the place that is free first, and returns when it ends.
func (l placeList) occupyFirst(d time.Duration) time.Duration { return l.occupy(0, d) }

// occupySoonest lets a task take the place where it ends first, and returns when it ends.
func (l placeList) occupySoonest(d time.Duration) time.Duration {
	best, end := 0, l[0].end(d)
	for i := 1; i < len(l) && l[i].at < end; i++ {
		if at := l[i].end(d); at < end {
			best, end = i, at
		}
	}
	return l.occupy(best, d)
}

// occupy lets a task take the n-th place and keeps the list sorted.
func (l placeList) occupy(n int, d time.Duration) time.Duration {
	p := l[n]
	p.at = p.end(d)
	rest := l[n+1:]
	i, _ := slices.BinarySearchFunc(rest, p, place.compare)
	copy(l[n:], rest[:i])
	l[n+i] = p
	return p.at
}
