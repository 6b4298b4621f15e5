package fold

import (
	"encoding/json"
	"time"
)

// Revision is one accepted document, certain as of an offset of the log.
type Revision struct {
	Rev    uint64          `msgpack:"r"`
	Asof   int64           `msgpack:"a"` // every offset up to here is folded in
	Token  string          `msgpack:"t"`
	Author string          `msgpack:"u"`
	Note   string          `msgpack:"n"`
	Doc    json.RawMessage `msgpack:"d"`
}

// Verdict on one declaration.
type Verdict struct {
	Won    bool
	Rev    uint64 // the revision it became, or lost to
	Author string // of the winner
	Token  string // of the winner
	Why    string // of a declaration that is invalid
}

// Fold reads records in the order of their offsets.
//
// The rules: the first declaration on a base wins; a refresh is trusted only by
// a reader that has read everything after the refresh's Asof; no revision ever
// follows a higher one. What would go wrong without the second: a refresh is
// written by a VM whose reading lagged, the newer declaration expires, and a VM
// that starts then takes the old revision for the one in force.
type Fold struct {
	valid  func(json.RawMessage) error
	cur    Revision
	known  bool    // cur is what the log says up to next-1
	next   int64   // the first offset not read yet
	since  int64   // everything from here to next-1 was read
	early  []entry // declarations read while not known
	ended  map[string]Verdict
	recent []string
	past   []Revision // the latest that were in force, oldest first

	naive bool // tests only: trust any refresh, to show that they catch it
}

type entry struct {
	at  int64
	rec Record
}

const (
	// mostEarly bounds what is kept while no revision is known.
	mostEarly = 4096
	// mostEnded bounds how many declarations' verdicts are remembered.
	mostEnded = 1024
	// mostPast bounds the revisions kept to go back to.
	mostPast = 20
)

// New returns a fold that knows nothing; valid judges documents and must give
// the same verdict on every VM.
func New(valid func(json.RawMessage) error) *Fold {
	return &Fold{valid: valid, ended: map[string]Verdict{}, cur: Revision{Asof: -1}}
}

// Current returns the revision in force; ok is false before the first.
func (f *Fold) Current() (Revision, bool) { return f.cur, f.cur.Rev > 0 }

// Known reports whether the fold is sure of everything the log holds so far.
// Without it the current revision is served, but nothing may be built on it.
func (f *Fold) Known() bool { return f.known }

// Next is the offset to read from.
func (f *Fold) Next() int64 { return f.next }

// Verdict returns what became of a declaration that was folded here.
func (f *Fold) Verdict(token string) (Verdict, bool) {
	v, ok := f.ended[token]
	return v, ok
}

// Open says where the readable log begins; called before each batch of records.
func (f *Fold) Open(first int64) {
	if first == 0 && f.next == 0 {
		f.known = true // the log from its very start: nothing was declared before
	}
	if first > f.next {
		f.restart(first) // records expired unread
	}
}

// restart begins a run of reading without a gap at an offset.
func (f *Fold) restart(at int64) {
	f.next, f.since = at, at
	f.known = false
	f.early = nil
}

// Apply folds the record at an offset; records already folded are ignored.
func (f *Fold) Apply(at int64, data []byte) {
	if at < f.next {
		return
	}
	f.Open(at)
	f.next = at + 1
	rec, err := Decode(data)
	switch {
	case err != nil: // written by something else; no declaration of ours
		f.pass(at)
	case rec.Found && rec.Kind == Declare:
		f.found(at, rec)
	case rec.Kind == Refresh && !f.known:
		f.refresh(at, rec)
	case rec.Kind == Refresh:
		f.pass(at)
	case f.known:
		f.declare(at, rec)
	case len(f.early) == mostEarly:
		f.restart(at + 1)
	default:
		f.early = append(f.early, entry{at, rec})
	}
}

// pass notes that an offset holds no declaration.
func (f *Fold) pass(at int64) {
	if f.known {
		f.cur.Asof = at
	}
}

func (f *Fold) declare(at int64, rec Record) {
	f.cur.Asof = at
	if rec.Token == f.cur.Token {
		return // the same append, sent twice because its answer was lost
	}
	if rec.Base != f.cur.Rev {
		f.end(rec.Token, Verdict{Rev: f.cur.Rev, Author: f.cur.Author, Token: f.cur.Token})
		return
	}
	if err := f.valid(rec.Doc); err != nil {
		f.end(rec.Token, Verdict{Rev: f.cur.Rev, Author: f.cur.Author, Token: f.cur.Token, Why: err.Error()})
		return
	}
	f.cur = Revision{Rev: rec.Base + 1, Asof: at, Token: rec.Token, Author: rec.Author, Note: rec.Note, Doc: rec.Doc}
	f.enter()
	f.end(rec.Token, Verdict{Won: true, Rev: f.cur.Rev, Author: rec.Author, Token: rec.Token})
}

// found makes a declaration the start of everything after it. Each revision took
// at least one offset, so no revision before is as high as at+1.
func (f *Fold) found(at int64, rec Record) {
	if f.known && rec.Token == f.cur.Token {
		f.cur.Asof = at
		return
	}
	if err := f.valid(rec.Doc); err != nil {
		f.pass(at)
		f.end(rec.Token, Verdict{Rev: f.cur.Rev, Author: f.cur.Author, Token: f.cur.Token, Why: err.Error()})
		return
	}
	f.cur = Revision{Rev: uint64(at) + 1, Asof: at, Token: rec.Token, Author: rec.Author, Note: rec.Note, Doc: rec.Doc}
	f.known, f.early = true, nil
	f.enter()
	f.end(rec.Token, Verdict{Won: true, Rev: f.cur.Rev, Author: rec.Author, Token: rec.Token})
}

// refresh gives a reader that began late its starting point.
func (f *Fold) refresh(at int64, rec Record) {
	if rec.Asof < f.since-1 && !f.naive {
		return // a record after Asof that expired unread may have changed it
	}
	f.trust(Revision{Rev: rec.Rev, Asof: rec.Asof, Token: rec.Token, Author: rec.Author, Note: rec.Note, Doc: rec.Doc}, at)
}

// trust takes r as certain as of r.Asof and folds what was read after it, unless
// that would lead below the current revision.
func (f *Fold) trust(r Revision, upto int64) {
	was, early := f.cur, f.early
	f.cur, f.known, f.early = r, true, nil
	for _, e := range early {
		if e.at > r.Asof {
			f.declare(e.at, e.rec)
		}
	}
	f.cur.Asof = max(f.cur.Asof, upto)
	if f.cur.Rev < was.Rev && !f.naive {
		f.cur, f.known, f.early = was, false, early
	}
	f.enter()
}

// Adopt takes a revision from a peer and reports whether a newer one is in force.
func (f *Fold) Adopt(r Revision) bool {
	was := f.cur.Rev
	if r.Rev < was || (r.Rev == was && (f.known || r.Asof <= f.cur.Asof)) {
		return false
	}
	switch {
	case r.Asof >= f.next:
		f.restart(r.Asof + 1)
		f.cur, f.known = r, true
	case f.known:
		return false // it would contradict what was read; the log decides
	case r.Asof >= f.since-1:
		f.trust(r, f.next-1)
	default:
		f.cur = r // served, though records after its Asof were missed
	}
	f.enter()
	return f.cur.Rev > was
}

func (f *Fold) end(token string, v Verdict) {
	if _, ok := f.ended[token]; ok {
		return // the first copy of a declaration decides
	}
	f.ended[token] = v
	f.recent = append(f.recent, token)
	if len(f.recent) > mostEnded {
		delete(f.ended, f.recent[0])
		f.recent = f.recent[1:]
	}
}

// History returns the latest revisions that were in force, oldest first.
func (f *Fold) History() []Revision { return append([]Revision{}, f.past...) }

// enter remembers a revision that came into force.
func (f *Fold) enter() {
	if n := len(f.past); n > 0 && f.past[n-1].Rev >= f.cur.Rev {
		return
	}
	f.past = append(f.past, f.cur)
	if len(f.past) > mostPast {
		f.past = f.past[1:]
	}
}

// Renewal returns a refresh of the current revision, if it is certain.
func (f *Fold) Renewal() (Record, bool) {
	if !f.known || f.cur.Rev == 0 {
		return Record{}, false
	}
	c := f.cur
	return Record{Kind: Refresh, Rev: c.Rev, Asof: c.Asof, Token: c.Token, Author: c.Author, Note: c.Note, Doc: c.Doc}, true
}

// RenewEvery is how often a revision is written again for a retention.
func RenewEvery(retention time.Duration) time.Duration { return retention / 3 }
