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
	headerSize = 5
	// MaxPayload is the largest payload of a frame in bytes: a submission of the largest size and some spare.
	MaxPayload = 24 << 20
)

// Errors of frames that can't be read or written.
var (
	ErrKind = errors.New("unknown frame kind")
	ErrSize = errors.New("frame too large")
)

// Append appends the encoded message to buf: four bytes of payload length, one byte
// of kind, then the payload in msgpack.
func Append(buf []byte, m Msg) ([]byte, error) {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var out bytes.Buffer
	enc.Reset(&out)
	enc.UseCompactInts(true) // most numbers in a heartbeat are small
	if err := enc.Encode(m); err != nil {
		return buf, fmt.Errorf("encode %T: %w", m, err)
	}
	body := out.Bytes()
	if len(body) > MaxPayload {
		return buf, fmt.Errorf("encode %T of %d bytes: %w", m, len(body), ErrSize)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, byte(m.kind()))
	return append(buf, body...), nil
}

// Read decodes the next message and returns the number of bytes read.
func Read(r io.Reader) (Msg, int, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, fmt.Errorf("read frame header: %w", err)
	}
	n, k := binary.BigEndian.Uint32(head[:4]), kind(head[4])
	if n > MaxPayload {
		return nil, 0, fmt.Errorf("frame of %d bytes: %w", n, ErrSize)
	}
	if k == 0 || k >= numKinds {
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
	m := constructors[k]()
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, 0, fmt.Errorf("decode %T: %w", m, err)
	}
	return m, headerSize + int(n), nil
}

// maxPrealloc is the largest body, in bytes, that is allocated by its announced length.
const maxPrealloc = 1 << 10

// readBody reads a body of n bytes. The buffer of a long body grows with the bytes received,
// so that a false length can't make it allocate much.
func readBody(r io.Reader, n int) ([]byte, error) {
	if n <= maxPrealloc {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, unexpectedEOF(err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF: within a frame any end is too early.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
