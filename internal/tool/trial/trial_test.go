package trial

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func sample() *Report {
	t := Table{Title: "How jobs ended", Case: "load", Columns: []Column{{Name: "in aim", Decimals: 3}, {Name: "p95", Unit: "ms", Decimals: 1}}}
	t.Add("0.5", 0.9994, 81.25)
	t.Add("1.5", 0.71, 1204)
	l := Line{Name: "in aim"}
	l.Add(0.5, 0.9994)
	l.Add(1.5, 0.71)
	return &Report{
		Name: "load", Title: "Served against load", Setup: "8 VMs, 48 endpoints, 12 s", Seeds: []uint64{1, 2},
		Tables: []Table{t}, Plots: []Plot{{Name: "aim", Title: "Jobs in aim", X: "load", Y: "share", Lines: []Line{l}}},
	}
}

// Markdown and JSON equal the golden files, and the plots are well-formed XML.
func TestReportIsWritten(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(sample().Write(dir))
	for _, name := range []string{"load.md", "load.json"} {
		got, err := os.ReadFile(filepath.Join(dir, name))
		is.NoErr(err)
		golden := filepath.Join("testdata", name)
		if *update {
			is.NoErr(os.MkdirAll("testdata", 0o750))
			is.NoErr(os.WriteFile(golden, got, 0o600))
		}
		want, err := os.ReadFile(golden)
		is.NoErr(err)
		is.Equal(string(got), string(want))
	}
	svg, err := os.ReadFile(filepath.Join(dir, "load-aim.svg"))
	is.NoErr(err)
	is.True(strings.Contains(string(svg), "in aim")) // the legend
	for d := xml.NewDecoder(strings.NewReader(string(svg))); ; {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
	}
}

// A report survives encoding to JSON and decoding.
func TestReportIsReadBack(t *testing.T) {
	is := is.New(t)
	r := sample()
	data, err := json.Marshal(r)
	is.NoErr(err)
	var back Report
	is.NoErr(json.Unmarshal(data, &back))
	is.Equal(&back, r)
}

// Guards against figures under the wrong heading: a column was added but one case
// forgotten, and rows were not checked against the columns.
func TestRowsHaveAFigureForEachColumn(t *testing.T) {
	is := is.New(t)
	r := sample()
	r.Tables[0].Add("2.5", 0.5)
	is.True(errors.Is(r.Write(t.TempDir()), ErrWidth))
}
