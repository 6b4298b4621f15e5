package fold

import (
	"encoding/json"
	"time"
)

// Revision is an accepted document, known to be in force as of an offset of the log.
type Revision struct {
	Rev    uint64          `msgpack:"r"`
	Asof   int64           `msgpack:"a"` // every offset up to here is applied
	Token  string          `msgpack:"t"`
	Author string          `msgpack:"u"`
	Note   string          `msgpack:"n"`
	Doc    json.RawMessage `msgpack:"d"`
}

// Verdict is the outcome of a declaration.
type Verdict struct {
	Won    bool
	Rev    uint64 // the revision that it became, or that it lost to
	Author string // of the winner
	Token  string // of the winner
	Why    string // why the document is invalid; empty if it lost to another
}

// Fold applies records in the order of their offsets.
//
// The rules: the first declaration on a base wins; a refresh is trusted only by
// a reader that has read everything after the refresh's Asof; revisions never
// decrease. Without the second rule a VM that lags behind the log writes a refresh,
// the newer declaration expires, and a VM that starts then adopts the old revision.
type Fold struct {
	valid        func(json.RawMessage) error
	cur          Revision
	known        bool    // cur is certainly in force as of next-1
	next         int64   // the first unread offset
	readFrom     int64   // all offsets from here to next-1 were read
	pending      []entry // declarations read while known is false
	verdicts     map[string]Verdict
	verdictOrder []string
	history      []Revision // the latest revisions in force, oldest first

	trustAny bool // tests only: trust any refresh, to show that the tests detect this fault
}

type entry struct {
	offset int64
	rec    Record
}

const (
	// maxPending bounds the declarations kept while the revision in force is not known.
	maxPending = 4096
	// maxVerdicts bounds the verdicts that are remembered.
	maxVerdicts = 1024
	// maxHistory bounds the revisions kept for operators to return to.
	maxHistory = 20
)

// New returns an empty fold; valid checks documents and must give the same result
// on every VM.
func New(valid func(json.RawMessage) error) *Fold {
	return &Fold{valid: valid, verdicts: map[string]Verdict{}, cur: Revision{Asof: -1}}
}

// Current returns the revision in force; ok is false before the first.
func (f *Fold) Current() (Revision, bool) { return f.cur, f.cur.Rev > 0 }

// Known reports whether the current revision is certainly in force as of the last
// offset read. Otherwise it is used, but nothing may be declared on it.
func (f *Fold) Known() bool { return f.known }

// Next returns the offset to read from.
func (f *Fold) Next() int64 { return f.next }

// Verdict returns the outcome of a declaration that was applied here.
func (f *Fold) Verdict(token string) (Verdict, bool) {
	v, ok := f.verdicts[token]
	return v, ok
}

// Open sets the first readable offset of the log; it is called before each batch of records.
func (f *Fold) Open(first int64) {
	if first == 0 && f.next == 0 {
		f.known = true // read from the log's start: nothing was declared before
	}
	if first > f.next {
		f.restart(first) // records expired unread
	}
}

// restart starts reading without gaps at an offset and drops pending declarations.
func (f *Fold) restart(offset int64) {
	f.next, f.readFrom = offset, offset
	f.known = false
	f.pending = nil
}

// Apply applies the record at an offset; records already applied are ignored.
func (f *Fold) Apply(offset int64, data []byte) {
	if offset < f.next {
		return
	}
	f.Open(offset)
	f.next = offset + 1
	rec, err := Decode(data)
	switch {
	case err != nil: // written by another program; not a declaration
		f.skip(offset)
	case rec.Found && rec.Kind == Declare:
		f.applyFound(offset, rec)
	case rec.Kind == Refresh && !f.known:
		f.applyRefresh(offset, rec)
	case rec.Kind == Refresh:
		f.skip(offset)
	case f.known:
		f.applyDeclare(offset, rec)
	case len(f.pending) == maxPending:
		f.restart(offset + 1)
	default:
		f.pending = append(f.pending, entry{offset, rec})
	}
}

// skip records that an offset holds no declaration.
func (f *Fold) skip(offset int64) {
	if f.known {
		f.cur.Asof = offset
	}
}

func (f *Fold) applyDeclare(offset int64, rec Record) {
	f.cur.Asof = offset
	if rec.Token == f.cur.Token {
		return // a second copy, appended because the first answer was lost
	}
	if rec.Base != f.cur.Rev {
		f.recordVerdict(rec.Token, Verdict{Rev: f.cur.Rev, Author: f.cur.Author, Token: f.cur.Token})
		return
	}
	if err := f.valid(rec.Doc); err != nil {
		f.recordVerdict(rec.Token, Verdict{Rev: f.cur.Rev, Author: f.cur.Author, Token: f.cur.Token, Why: err.Error()})
		return
	}
	f.cur = Revision{Rev: rec.Base + 1, Asof: offset, Token: rec.Token, Author: rec.Author, Note: rec.Note, Doc: rec.Doc}
	f.addHistory()
	f.recordVerdict(rec.Token, Verdict{Won: true, Rev: f.cur.Rev, Author: rec.Author, Token: rec.Token})
}

// applyFound makes a declaration the start of a new history. Each revision took
// at least one offset, so every earlier revision is lower than offset+1.
func (f *Fold) applyFound(offset int64, rec Record) {
	if f.known && rec.Token == f.cur.Token {
		f.cur.Asof = offset
		return
	}
	if err := f.valid(rec.Doc); err != nil {
		f.skip(offset)
		f.recordVerdict(rec.Token, Verdict{Rev: f.cur.Rev, Author: f.cur.Author, Token: f.cur.Token, Why: err.Error()})
		return
	}
	f.cur = Revision{Rev: uint64(offset) + 1, Asof: offset, Token: rec.Token, Author: rec.Author, Note: rec.Note, Doc: rec.Doc}
	f.known, f.pending = true, nil
	f.addHistory()
	f.recordVerdict(rec.Token, Verdict{Won: true, Rev: f.cur.Rev, Author: rec.Author, Token: rec.Token})
}

// applyRefresh gives a reader that started in the middle of the log its first revision.
func (f *Fold) applyRefresh(offset int64, rec Record) {
	if rec.Asof < f.readFrom-1 && !f.trustAny {
		return // a record after Asof that expired unread may have replaced it
	}
	f.startFrom(Revision{Rev: rec.Rev, Asof: rec.Asof, Token: rec.Token, Author: rec.Author, Note: rec.Note, Doc: rec.Doc}, offset)
}

// startFrom makes r the revision in force as of r.Asof and applies the declarations read
// after it, unless that would end below the current revision.
func (f *Fold) startFrom(r Revision, end int64) {
	prev, pending := f.cur, f.pending
	f.cur, f.known, f.pending = r, true, nil
	for _, e := range pending {
		if e.offset > r.Asof {
			f.applyDeclare(e.offset, e.rec)
		}
	}
	f.cur.Asof = max(f.cur.Asof, end)
	if f.cur.Rev < prev.Rev && !f.trustAny {
		f.cur, f.known, f.pending = prev, false, pending
	}
	f.addHistory()
}

// Adopt accepts a revision from a peer and reports whether a newer one is in force now.
func (f *Fold) Adopt(r Revision) bool {
	prev := f.cur.Rev
	if r.Rev < prev || (r.Rev == prev && (f.known || r.Asof <= f.cur.Asof)) {
		return false
	}
	switch {
	case r.Asof >= f.next:
		f.restart(r.Asof + 1)
		f.cur, f.known = r, true
	case f.known:
		return false // it contradicts what was read; the log decides
	case r.Asof >= f.readFrom-1:
		f.startFrom(r, f.next-1)
	default:
		f.cur = r // used, though records after its Asof were missed
	}
	f.addHistory()
	return f.cur.Rev > prev
}

func (f *Fold) recordVerdict(token string, v Verdict) {
	if _, ok := f.verdicts[token]; ok {
		return // the first copy of a declaration decides
	}
	f.verdicts[token] = v
	f.verdictOrder = append(f.verdictOrder, token)
	if len(f.verdictOrder) > maxVerdicts {
		delete(f.verdicts, f.verdictOrder[0])
		f.verdictOrder = f.verdictOrder[1:]
	}
}

// History returns the latest revisions that were in force, oldest first.
func (f *Fold) History() []Revision { return append([]Revision{}, f.history...) }

// addHistory records that the current revision came into force.
func (f *Fold) addHistory() {
	if n := len(f.history); n > 0 && f.history[n-1].Rev >= f.cur.Rev {
		return
	}
	f.history = append(f.history, f.cur)
	if len(f.history) > maxHistory {
		f.history = f.history[1:]
	}
}

// Renewal returns a refresh of the current revision, if it is known to be in force.
func (f *Fold) Renewal() (Record, bool) {
	if !f.known || f.cur.Rev == 0 {
		return Record{}, false
	}
	c := f.cur
	return Record{Kind: Refresh, Rev: c.Rev, Asof: c.Asof, Token: c.Token, Author: c.Author, Note: c.Note, Doc: c.Doc}, true
}

// RefreshInterval returns how often to write a refresh for a retention of the log.
func RefreshInterval(retention time.Duration) time.Duration { return retention / 3 }
