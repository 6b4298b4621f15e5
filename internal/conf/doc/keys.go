package doc

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Hash is what a document holds of a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Keyring finds the tenant of a key.
type Keyring struct {
	hashes  [][]byte
	tenants []string
}

// NewKeyring indexes the keys of a document.
func NewKeyring(d *Document) *Keyring {
	r := &Keyring{}
	for name, t := range d.Tenants {
		for _, k := range t.Keys {
			r.hashes = append(r.hashes, []byte(k))
			r.tenants = append(r.tenants, name)
		}
	}
	return r
}

// Tenant returns whose key it is. It compares with every hash in constant time,
// so that the time of an answer tells nothing of the keys.
func (r *Keyring) Tenant(key string) (name string, ok bool) {
	sum := []byte(Hash(key))
	found := -1
	for i, h := range r.hashes {
		if subtle.ConstantTimeCompare(sum, h) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return r.tenants[found], true
}
