package speed

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// entrySize is the encoded size of an entry in bytes.
	entrySize = 6
	// logScale maps factors from 1/4 to 4 to a signed byte.
	logScale = 127 / (2 * math.Ln2)
	// ageUnit is the resolution of an age; the greatest is 64 s.
	ageUnit = 250 * time.Millisecond
	// maxAge is how long the estimate of a peer is kept. An endpoint that nobody has used for longer is rare, and one
	// that was replaced has another ID.
	maxAge = 60 * time.Second
	// maxHeard bounds the memory for what peers measured: a failure domain of the target size has 511 endpoints.
	maxHeard = 4096
)

// heard is an estimate of another VM.
type heard struct {
	log float64 // logarithm of the factor
	at  time.Time
}

// hash is how VMs name an endpoint to each other.
func hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Changes returns at most n entries for other VMs, those whose factor has changed most since it was last sent first,
// then the others in turn. Endpoints of usual speed have none, but for one that says that a factor is back to 1.
func (t *Tracker) Changes(now time.Time, n int) []byte {
	maps.DeleteFunc(t.heard, func(_ uint32, h heard) bool { return now.Sub(h.at) > maxAge })
	ids := slices.Sorted(maps.Keys(t.endpoints))
	if len(ids) == 0 {
		return nil
	}
	// Without the rotation the endpoints with the lowest IDs would be repeated and the others never.
	t.next %= len(ids)
	ids = slices.Concat(ids[t.next:], ids[:t.next])
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(t.unsent(b), t.unsent(a)) })
	var out []byte
	for _, id := range ids {
		if len(out) >= n*entrySize {
			break
		}
		s := t.endpoints[id]
		if t.Factor(id) == 1 && factor(s.sent) == 1 {
			continue
		}
		if t.unsent(id) == 0 {
			t.next++
		}
		out = t.appendEntry(now, out, id)
		s.sent = s.log - t.mean
	}
	return out
}

// unsent returns by how much an endpoint's factor has changed since it was sent, 0 if by less than MinChange.
func (t *Tracker) unsent(id string) float64 {
	s := t.endpoints[id]
	if s.runs == 0 {
		return 0
	}
	d := math.Abs(s.log - t.mean - s.sent)
	if d < math.Log1p(MinChange) {
		return 0
	}
	return d
}

// All returns the entries of all endpoints that this VM knows, those that it heard of included, for a VM that has just
// started.
func (t *Tracker) All(now time.Time) (out []byte) {
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if t.Factor(id) != 1 {
			out = t.appendEntry(now, out, id)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(t.heard)) {
		if e := t.heard[h]; factor(e.log) != 1 {
			out = appendEntry(out, h, e.log, now.Sub(e.at))
		}
	}
	return out
}

func (t *Tracker) appendEntry(now time.Time, out []byte, id string) []byte {
	s := t.endpoints[id]
	log := s.log - t.mean
	if factor(log) == 1 {
		log = 0
	}
	return appendEntry(out, hash(id), log, now.Sub(s.at))
}

func appendEntry(out []byte, hash uint32, log float64, age time.Duration) []byte {
	out = binary.BigEndian.AppendUint32(out, hash)
	code := int8(math.Round(min(127, max(-127, log*logScale))))
	return append(out, byte(code), byte(min(255, max(0, age)/ageUnit)))
}

// Merge applies entries of another VM. What this VM measures itself goes before.
func (t *Tracker) Merge(now time.Time, entries []byte) {
	own := make(map[uint32]*state, len(t.endpoints))
	for id, s := range t.endpoints {
		own[hash(id)] = s
	}
	for ; len(entries) >= entrySize; entries = entries[entrySize:] {
		h := binary.BigEndian.Uint32(entries)
		e := heard{log: float64(int8(entries[4])) / logScale, at: now.Add(-time.Duration(entries[5]) * ageUnit)}
		if s := own[h]; s != nil {
			if s.runs == 0 && e.at.After(s.at) { // it was taken over before its estimate arrived
				s.log, s.prior, s.at = e.log+t.mean, peerRuns, e.at
			}
			continue
		}
		t.remember(h, e)
	}
}

// remember keeps an estimate unless a newer one is known.
func (t *Tracker) remember(h uint32, e heard) {
	if old, ok := t.heard[h]; ok && old.at.After(e.at) {
		return
	}
	if _, ok := t.heard[h]; !ok && len(t.heard) >= maxHeard {
		t.dropOldest()
	}
	t.heard[h] = e
}

func (t *Tracker) dropOldest() {
	oldest := uint32(0)
	at := time.Time{}
	for h, e := range t.heard {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = h, e.at
		}
	}
	delete(t.heard, oldest)
}

// takeHeard returns and forgets what a peer measured of an endpoint.
func (t *Tracker) takeHeard(id string) (heard, bool) {
	h := hash(id)
	e, ok := t.heard[h]
	delete(t.heard, h)
	return e, ok
}
