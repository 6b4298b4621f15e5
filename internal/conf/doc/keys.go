package doc

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash/maphash"
)

// Hash returns the form in which a document stores a key: its SHA-256 in hex.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Keyring finds the tenant of a key.
//
// Hashes are indexed with a seed that is random for each keyring and compared in
// constant time: the response time reveals nothing about a key, and a lookup among
// 490 tenants needs no scan.
type Keyring struct {
	seed    maphash.Seed
	entries map[uint64][]keyEntry
}

type keyEntry struct {
	hash   []byte
	tenant string
}

// NewKeyring indexes the keys of a document.
func NewKeyring(d *Document) *Keyring {
	r := &Keyring{seed: maphash.MakeSeed(), entries: map[uint64][]keyEntry{}}
	for name, t := range d.Tenants {
		for _, k := range t.Keys {
			bucket := maphash.String(r.seed, k)
			r.entries[bucket] = append(r.entries[bucket], keyEntry{[]byte(k), name})
		}
	}
	return r
}

// Tenant returns the tenant that a key belongs to.
func (r *Keyring) Tenant(key string) (name string, ok bool) {
	sum := Hash(key)
	for _, h := range r.entries[maphash.String(r.seed, sum)] {
		if subtle.ConstantTimeCompare([]byte(sum), h.hash) == 1 {
			name, ok = h.tenant, true
		}
	}
	return name, ok
}
