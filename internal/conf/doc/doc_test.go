package doc

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dahliawinch/internal/conf/valid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("testdata/valid/*.json")
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, f := range files {
		text, err := os.ReadFile(f)
		is.NoErr(err)
		d, err := Parse(text)
		is.NoErr(err)
		again, err := d.Encode()
		is.NoErr(err)
		is.Equal(strings.TrimSpace(string(text)), string(again)) // encoding returns the same text
	}
}

func TestProblemsNameFieldAndFix(t *testing.T) {
	files, err := filepath.Glob("testdata/invalid/*.json")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d invalid documents, %v", len(files), err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(f)
			is.NoErr(err)
			_, err = Parse(text)
			var bad *valid.Error
			is.True(errors.As(err, &bad))
			golden := strings.TrimSuffix(f, ".json") + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(bad.Error()+"\n", string(want))
		})
	}
}

func TestKeyringKnowsOnlyDeclaredKeys(t *testing.T) {
	is := is.New(t)
	r := NewKeyring(&Document{Tenants: map[string]Tenant{"quokka": {Keys: []string{Hash("one"), Hash("two")}}}})
	name, ok := r.Tenant("two")
	is.True(ok)
	is.Equal(name, "quokka")
	_, ok = r.Tenant(Hash("two"))
	is.True(!ok)
	_, ok = r.Tenant("")
	is.True(!ok)
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{`{}`, `{"reserve":1e400}`, `{"limits":{"tasks":"x"}}`, `[]`, `{} {}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			return
		}
		out, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(out); err != nil {
			t.Fatalf("a valid document doesn't parse again: %v", err)
		}
	})
}
