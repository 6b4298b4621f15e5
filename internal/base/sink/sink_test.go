package sink

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that hang because the log's reader stopped reading and writing a
// log line waits for it.
func TestFullSinkDropsAndReportsLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxBuffered / len(line) {
		n, err := s.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	s.Flush()
	is.True(out.Len() <= maxBuffered+100)
	is.True(strings.Contains(out.String(), "log lines lost"))
	out.Reset()
	_, err := s.Write(line)
	is.NoErr(err)
	s.Flush()
	is.Equal(out.String(), string(line))
}
