package doc

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash/maphash"
)

// Hash is what a document holds of a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Keyring finds the tenant of a key.
//
// Hashes are looked up under a seed that is random for each keyring and compared in
// constant time: the time of an answer tells nothing of a key, and finding one among
// 490 tenants costs no walk over all of them.
type Keyring struct {
	seed    maphash.Seed
	entries map[uint64][]holder
}

type holder struct {
	hash   []byte
	tenant string
}

// NewKeyring indexes the keys of a document.
func NewKeyring(d *Document) *Keyring {
	r := &Keyring{seed: maphash.MakeSeed(), entries: map[uint64][]holder{}}
	for name, t := range d.Tenants {
		for _, k := range t.Keys {
			at := maphash.String(r.seed, k)
			r.entries[at] = append(r.entries[at], holder{[]byte(k), name})
		}
	}
	return r
}

// Tenant returns whose key it is.
func (r *Keyring) Tenant(key string) (name string, ok bool) {
	sum := Hash(key)
	for _, h := range r.entries[maphash.String(r.seed, sum)] {
		if subtle.ConstantTimeCompare([]byte(sum), h.hash) == 1 {
			name, ok = h.tenant, true
		}
	}
	return name, ok
}
