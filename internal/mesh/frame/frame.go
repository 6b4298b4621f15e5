package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	headSize = 5
	// Most is the largest payload of a frame: a full submission and some.
	Most = 24 << 20
)

// The errors of a frame.
var (
	ErrKind = errors.New("unknown kind of frame")
	ErrSize = errors.New("frame too large")
)

// Append encodes a message behind buf: four bytes of length, one of kind, then
// msgpack.
func Append(buf []byte, m Msg) ([]byte, error) {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var out bytes.Buffer
	enc.Reset(&out)
	enc.UseCompactInts(true) // most numbers of a heartbeat are small
	if err := enc.Encode(m); err != nil {
		return buf, fmt.Errorf("encode %T: %w", m, err)
	}
	body := out.Bytes()
	if len(body) > Most {
		return buf, fmt.Errorf("encode %T of %d bytes: %w", m, len(body), ErrSize)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, byte(m.kind()))
	return append(buf, body...), nil
}

// Read decodes the next message and returns how many bytes it took.
func Read(r io.Reader) (Msg, int, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, fmt.Errorf("read frame head: %w", err)
	}
	n, k := binary.BigEndian.Uint32(head[:4]), kind(head[4])
	if n > Most {
		return nil, 0, fmt.Errorf("frame of %d bytes: %w", n, ErrSize)
	}
	if k == 0 || k >= kinds {
		return nil, 0, fmt.Errorf("kind %d: %w", k, ErrKind)
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return nil, 0, fmt.Errorf("read frame body: %w", err)
	}
	if k == kindPacked {
		if k, body, err = unpack(body); err != nil {
			return nil, 0, fmt.Errorf("read frame: %w", err)
		}
	}
	m := makers[k]()
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, 0, fmt.Errorf("decode %T: %w", m, err)
	}
	return m, headSize + int(n), nil
}

// smallBody is the length up to which a body is taken to be as long as announced.
const smallBody = 1 << 10

// readBody reads a body of n bytes. That of a long one grows as bytes come, not as announced.
func readBody(r io.Reader, n int) ([]byte, error) {
	if n <= smallBody {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, unexpected(err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// unexpected makes an end before the first byte one in the midst of a frame.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
