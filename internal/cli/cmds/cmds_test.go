package cmds

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares got with a golden file in testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(got, string(want))
}

func run(args ...string) (code int, out string) {
	var buf bytes.Buffer
	code = Main(args, &buf, &buf)
	return code, buf.String()
}

func TestCommandOutput(t *testing.T) {
	cases := []struct {
		name string
		code int
		args []string
	}{
		{"help", exitOK, []string{"help"}},
		{"form-help", exitOK, []string{"form", "--help"}},
		{"check-document", exitOK, []string{"check", "../../conf/doc/testdata/valid/quokka.json"}},
		{"check-bad-document", exitFailed, []string{"check", "../../conf/doc/testdata/invalid/range.json"}},
		{"check-bad-settings", exitFailed, []string{"check", "testdata/settings.json"}},
		{"entry-bad-flag", exitUsage, []string{"entry", "--mesh", "localhost:1", "--domain", "a"}},
		{"load-elsewhere", exitUsage, []string{"load", "192.0.2.1:80"}},
		{"declare-without-address", exitUsage, []string{"declare", "../../conf/doc/testdata/valid/quokka.json"}},
		{"declare-invalid", exitRefused, []string{"declare", "../../conf/doc/testdata/invalid/range.json", "--at", "127.0.0.1:1"}},
		{"unknown-command", exitUsage, []string{"destroy"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, out := run(c.args...)
			is.New(t).Equal(code, c.code)
			golden(t, c.name, out)
		})
	}
}

func TestNewKeysDiffer(t *testing.T) {
	is := is.New(t)
	_, a := run("keys", "new")
	_, b := run("keys", "new")
	is.True(a != b)
	key := strings.TrimPrefix(strings.Split(a, "\n")[0], "key=")
	_, hash := run("keys", "hash", key)
	is.True(strings.Contains(a, "hash="+strings.TrimSpace(hash)))
}
