package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The exit code distinguishes a usage error, which a restart does not fix, from a failure.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	err := Run([]string{filepath.Join(t.TempDir(), "none.json")}, io.Discard)
	is.True(errors.Is(err, os.ErrNotExist))
	is.Equal(ExitCode(err), exitUsage)

	bad := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(bad, []byte(`{"cores":-1}`), 0o600))
	err = Run([]string{bad}, io.Discard)
	is.True(strings.Contains(err.Error(), "cores: -1 is not usable"))
	is.Equal(ExitCode(err), exitUsage)

	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close() //nolint:errcheck // end of the test
	at := taken.Addr().String()
	busy := filepath.Join(t.TempDir(), "busy.json")
	is.NoErr(os.WriteFile(busy, []byte(`{"domain":"a","caller":"`+at+`","ready":"`+at+`","mesh":"`+at+`","store":"127.0.0.1:9"}`), 0o600))
	err = Run([]string{busy}, io.Discard)
	is.True(err != nil)
	is.Equal(ExitCode(err), exitFailed)
}
