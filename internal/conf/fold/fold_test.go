package fold

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func anyDoc(json.RawMessage) error { return nil }

// model is a log with retention and the VMs that read it; truth applies every
// record at once, and the VMs are checked against it.
type model struct {
	records  [][]byte
	first    int64
	vms      []*Fold
	truth    *Fold
	won      map[uint64]string // revision to token
	serial   int
	trustAny bool
}

func newModel(n int, trustAny bool) *model {
	m := &model{truth: New(anyDoc), won: map[uint64]string{}, trustAny: trustAny}
	m.truth.Open(0)
	for range n {
		m.vms = append(m.vms, m.boot())
	}
	return m
}

func (m *model) boot() *Fold {
	f := New(anyDoc)
	f.trustAny = m.trustAny
	return f
}

func (m *model) append(r Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	at := int64(len(m.records))
	m.records = append(m.records, data)
	m.truth.Apply(at, data)
	c, ok := m.truth.Current()
	if ok && m.won[c.Rev] != "" && m.won[c.Rev] != c.Token {
		return fmt.Errorf("revision %d has two winners", c.Rev)
	}
	if ok {
		m.won[c.Rev] = c.Token
	}
	return nil
}

func (m *model) read(f *Fold, n int) {
	f.Open(m.first)
	for at := f.Next(); at < int64(len(m.records)) && n > 0; at++ {
		f.Apply(at, m.records[at])
		n--
	}
}

var errReverted = errors.New("a VM reverted")

// step does one random thing and checks every VM against the truth.
func (m *model) step(t *rapid.T) error {
	before := make([]uint64, len(m.vms))
	for i, f := range m.vms {
		before[i] = f.cur.Rev
	}
	i := rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")
	f := m.vms[i]
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 0, 1: // declare on the base that this VM knows; the append may be duplicated
		if !f.Known() {
			break
		}
		m.serial++
		r := Record{Kind: Declare, Base: f.cur.Rev, Token: fmt.Sprint("t", m.serial), Doc: json.RawMessage(`{}`)}
		for range rapid.IntRange(1, 2).Draw(t, "copies") {
			if err := m.append(r); err != nil {
				return err
			}
		}
	case 2:
		if _, ok := f.Current(); !ok && !f.Known() && m.first > 0 {
			m.serial++
			r := Record{Kind: Declare, Found: true, Token: fmt.Sprint("f", m.serial), Doc: json.RawMessage(`{}`)}
			if err := m.append(r); err != nil {
				return err
			}
			break
		}
		if r, ok := f.Renewal(); ok {
			if err := m.append(r); err != nil {
				return err
			}
		}
	case 3, 4:
		m.read(f, rapid.IntRange(1, 6).Draw(t, "batch"))
	case 5: // retention
		m.first = rapid.Int64Range(m.first, int64(len(m.records))).Draw(t, "first")
	case 6: // gossip
		if r, ok := m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "peer")].Current(); ok {
			f.Adopt(r)
		}
	default: // the VM is replaced; a new one has no revision to revert from
		m.vms[i], before[i] = m.boot(), 0
	}
	return m.check(before)
}

// check compares every VM with the truth; before holds their previous revisions.
func (m *model) check(before []uint64) error {
	for i, f := range m.vms {
		if f.cur.Rev < before[i] {
			return fmt.Errorf("vm %d from %d to %d: %w", i, before[i], f.cur.Rev, errReverted)
		}
		if c, ok := f.Current(); ok && m.won[c.Rev] != c.Token {
			return fmt.Errorf("vm %d has %s as revision %d, the log %s", i, c.Token, c.Rev, m.won[c.Rev])
		}
		if f.Known() && f.Next() == int64(len(m.records)) && f.cur.Rev != m.truth.cur.Rev {
			return fmt.Errorf("vm %d read the whole log and knows revision %d, the log has %d", i, f.cur.Rev, m.truth.cur.Rev)
		}
	}
	return nil
}

// Guards against an accepted configuration that reverts, and against two winners on one
// base, under any order of races, duplicate appends, refreshes by lagging VMs, expiry,
// gossip and replaced VMs: a record is trusted without those before it.
func TestNeverRevertsNeverTwoWinners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(4, false)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if err := m.step(t); err != nil {
				t.Fatal(err)
			}
		}
		// The VMs converge: one that knows the revision in force writes a refresh, and all read it.
		for _, f := range m.vms {
			m.read(f, 1<<30)
		}
		for _, f := range m.vms {
			if r, ok := f.Renewal(); ok {
				if err := m.append(r); err != nil {
					t.Fatal(err)
				}
				for _, g := range m.vms {
					m.read(g, 1<<30)
					if !g.Known() || g.cur.Rev != f.cur.Rev {
						t.Fatalf("a VM stays at %d, known %v, though %d was refreshed", g.cur.Rev, g.Known(), f.cur.Rev)
					}
				}
				return
			}
		}
	})
}

// Guards against a new VM that starts with an old document: VM A lags at revision 1,
// revision 2 is accepted, A refreshes 1, everything before the refresh expires, and VM B
// starts and trusts the refresh without having read everything since its Asof.
func TestRefreshOfALaggingVMIsNotTrusted(t *testing.T) {
	for _, trustAny := range []bool{false, true} {
		is := is.New(t)
		m := newModel(2, trustAny)
		a, b := m.vms[0], m.vms[1]
		m.read(a, 1)
		is.NoErr(m.append(Record{Kind: Declare, Base: 0, Token: "one", Doc: json.RawMessage(`{}`)}))
		m.read(a, 1)
		is.NoErr(m.append(Record{Kind: Declare, Base: 1, Token: "two", Doc: json.RawMessage(`{}`)}))
		r, ok := a.Renewal() // a has not read "two"
		is.True(ok)
		is.NoErr(m.append(r))
		m.first = 2
		m.read(b, 10)
		reverted := b.Known() && b.cur.Rev == 1
		is.Equal(reverted, trustAny) // trusting any refresh shows that this test detects the failure
	}
}

// Checks that the model detects two winners of revision 1: two VMs declare on the same base
// at the same time, and in the variant that is broken on purpose each treats its append as
// accepted when it returns, without reading the records before it.
func TestModelDetectsTwoWinners(t *testing.T) {
	for _, onAppend := range []bool{false, true} {
		is := is.New(t)
		m := newModel(2, false)
		for i, f := range m.vms {
			f.Open(0)
			rec := Record{Kind: Declare, Token: fmt.Sprint("of-", i), Doc: json.RawMessage(`{}`)}
			is.NoErr(m.append(rec))
			if onAppend {
				f.applyDeclare(int64(len(m.records)-1), rec)
			} else {
				m.read(f, 1<<30)
			}
		}
		is.Equal(m.check([]uint64{0, 0}) != nil, onAppend)
	}
}

func TestLoserGetsWinner(t *testing.T) {
	is := is.New(t)
	m := newModel(1, false)
	for _, author := range []string{"ana", "bo"} {
		is.NoErr(m.append(Record{Kind: Declare, Token: "of-" + author, Author: author, Doc: json.RawMessage(`{}`)}))
	}
	m.read(m.vms[0], 10)
	v, ok := m.vms[0].Verdict("of-bo")
	is.True(ok && !v.Won)
	is.Equal(v.Author, "ana")
	v, ok = m.vms[0].Verdict("of-ana")
	is.True(ok && v.Won)
}

// Guards against a service that can't be configured any more: every VM was replaced and
// every record expired, so no reader knows the base, and a new history needs a start that
// all readers agree on.
func TestFoundRestartsAboveEveryRevision(t *testing.T) {
	is := is.New(t)
	m := newModel(2, false)
	m.read(m.vms[0], 1)
	is.NoErr(m.append(Record{Kind: Declare, Token: "one", Doc: json.RawMessage(`{}`)}))
	m.read(m.vms[0], 1)
	m.first = 1
	m.read(m.vms[1], 1)
	is.True(!m.vms[1].Known())
	is.NoErr(m.append(Record{Kind: Declare, Found: true, Token: "two", Doc: json.RawMessage(`{}`)}))
	for _, f := range m.vms {
		m.read(f, 9)
		is.Equal(f.cur.Rev, uint64(2))
		is.Equal(f.cur.Token, "two")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"declare","base":0,"token":"a","doc":{}}`))
	f.Add([]byte(`{"kind":"refresh","rev":3,"asof":9,"token":"a","doc":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := New(anyDoc)
		fold.Open(0)
		fold.Apply(0, data)
		if c, ok := fold.Current(); ok && c.Rev != 1 {
			t.Fatalf("the first record made revision %d", c.Rev)
		}
	})
}
