package frame

import (
	"encoding/binary"
	"fmt"

	"github.com/klauspost/compress/s2"
)

// packFrom is the length from which a frame is worth compressing: shorter ones fit a few packets.
const packFrom = 4 << 10

// Pack compresses an encoded frame if that is worth it, and returns it as it is else.
//
// What goes wrong without it: a VM that starts gets a copy of all endpoints, 113 bytes for each, most
// of which say the same; after a loss of 300 VMs one that has read 3,000 endpoints gives 338 KB to
// each of 36 others through 25 Mbit/s, which takes four seconds.
func Pack(data []byte) []byte {
	if len(data) < packFrom {
		return data
	}
	b := make([]byte, headSize, headSize+s2.MaxEncodedLen(len(data)))
	b = append(b, s2.Encode(b[headSize:cap(b)], data[headSize-1:])...) // the kind and the body
	if len(b) >= len(data) {
		return data
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-headSize))
	b[headSize-1] = byte(kindPacked)
	return b
}

// unpack returns the kind and the body of what was packed.
func unpack(body []byte) (k kind, plain []byte, err error) {
	n, err := s2.DecodedLen(body)
	if err != nil {
		return 0, nil, fmt.Errorf("unpack: %w", err)
	}
	if n > Most+1 {
		return 0, nil, fmt.Errorf("unpack %d bytes: %w", n, ErrSize)
	}
	if plain, err = s2.Decode(nil, body); err != nil {
		return 0, nil, fmt.Errorf("unpack: %w", err)
	}
	if len(plain) == 0 || kind(plain[0]) == 0 || kind(plain[0]) >= kindPacked {
		return 0, nil, fmt.Errorf("unpack: %w", ErrKind)
	}
	return kind(plain[0]), plain[1:], nil
}
