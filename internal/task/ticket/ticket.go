// Package ticket ensures that a resubmission never starts work a second time.
//
// A ticket is issued by one incarnation of one VM, and only that incarnation may
// start work for it. Other VMs forward it there; if that incarnation is gone they
// answer "unknown, nothing started here". This needs no consensus between VMs and
// holds in every partition. docs/notes/tickets.md compares it with idempotency keys
// assigned to VMs by hashing and with claims on the log.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// macSize is the length of the truncated HMAC-SHA256 of a grant.
	macSize = 16
	// maxTextBytes bounds the text to decode, since tickets come from untrusted callers.
	maxTextBytes = 512
)

// Grant is a range of tickets issued to one tenant.
type Grant struct {
	_msgpack struct{}       `msgpack:",as_array"` //nolint:unused // the codec reads this tag
	VM       netip.AddrPort // the mesh address of the VM that issued it
	Inc      uint64         // its incarnation
	Base     uint64         // sequence number of the first ticket
	Count    int            // tickets in the range
	Ends     time.Time      // no start is allowed after this
	Tenant   string
}

// Ticket is one ticket of a grant, as presented by a caller.
type Ticket struct {
	Grant
	Nth int
	raw []byte
	mac []byte
}

// Seq returns the ticket's sequence number, unique within the incarnation.
func (t Ticket) Seq() uint64 { return t.Base + uint64(t.Nth) }

// ErrForm is returned for text that is not a valid ticket.
var ErrForm = errors.New("not a ticket")

// Parse decodes a ticket without verifying it; only its issuer can check the MAC.
func Parse(text string) (Ticket, error) {
	if len(text) > maxTextBytes {
		return Ticket{}, fmt.Errorf("%d characters: %w", len(text), ErrForm)
	}
	head, nth, ok := strings.Cut(text, ".")
	if !ok {
		return Ticket{}, fmt.Errorf("lacks the part after the dot: %w", ErrForm)
	}
	n, err := strconv.ParseUint(nth, 10, 16)
	if err != nil {
		return Ticket{}, fmt.Errorf("number %q: %w", nth, ErrForm)
	}
	raw, err := base64.RawURLEncoding.DecodeString(head)
	if err != nil || len(raw) <= macSize {
		return Ticket{}, fmt.Errorf("base64 part: %w", ErrForm)
	}
	t := Ticket{Nth: int(n), raw: raw[macSize:], mac: raw[:macSize]}
	if err := msgpack.Unmarshal(t.raw, &t.Grant); err != nil {
		return Ticket{}, fmt.Errorf("grant: %w", ErrForm)
	}
	if t.Nth >= t.Count || t.Count < 1 {
		return Ticket{}, fmt.Errorf("number %d of %d: %w", t.Nth, t.Count, ErrForm)
	}
	return t, nil
}

// Pick returns the text of the nth ticket of a grant.
func Pick(grant string, nth int) string { return grant + "." + strconv.Itoa(nth) }

func seal(secret []byte, g Grant) (string, error) {
	raw, err := msgpack.Marshal(&g)
	if err != nil {
		return "", fmt.Errorf("encode grant: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(append(sign(secret, raw), raw...)), nil
}

func sign(secret, raw []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(raw)
	return m.Sum(nil)[:macSize]
}

func (t Ticket) authentic(secret []byte) bool { return hmac.Equal(t.mac, sign(secret, t.raw)) }
