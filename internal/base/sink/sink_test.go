package sink

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Symptom: requests stand still. Sequence: whoever reads the log stops reading. Cause:
// a write of a log line waits for the reader.
func TestFullSinkDropsLinesAndSaysSo(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * most / len(line) {
		n, err := s.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	s.Flush()
	is.True(out.Len() <= most+100)
	is.True(strings.Contains(out.String(), "log lines lost"))
	out.Reset()
	_, err := s.Write(line)
	is.NoErr(err)
	s.Flush()
	is.Equal(out.String(), string(line))
}
