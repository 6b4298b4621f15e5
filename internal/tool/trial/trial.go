// Package trial writes the results of experiments: tables as JSON and Markdown,
// plots as SVG.
package trial

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Report holds the results of one experiment.
type Report struct {
	Name   string   `json:"name"`  // prefix of its file names
	Title  string   `json:"title"` // question of the experiment
	Setup  string   `json:"setup"` // deployment, load, duration
	Seeds  []uint64 `json:"seeds"` // of the runs that were averaged
	Tables []Table  `json:"tables"`
	Plots  []Plot   `json:"plots"`
}

// Table has a row for each case that was measured.
type Table struct {
	Title   string   `json:"title"`
	Case    string   `json:"case"` // heading of the first column
	Columns []Column `json:"columns"`
	Rows    []Row    `json:"rows"`
}

// Column describes one figure of each case.
type Column struct {
	Name     string `json:"name"`
	Unit     string `json:"unit,omitempty"`
	Decimals int    `json:"decimals"`
}

// Row holds the figures of one case.
type Row struct {
	Case    string    `json:"case"`
	Figures []float64 `json:"figures"`
}

// Plot holds lines over a common X axis.
type Plot struct {
	Name  string `json:"name"` // suffix of its file name
	Title string `json:"title"`
	X     string `json:"x"`
	Y     string `json:"y"`
	Lines []Line `json:"lines"`
}

// Line is one line of a plot.
type Line struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Point is one point of a line.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// ErrWidth is returned for a row whose number of figures is not that of the columns.
var ErrWidth = errors.New("figures and columns differ in number")

// Add appends a case to a table.
func (t *Table) Add(name string, figures ...float64) {
	t.Rows = append(t.Rows, Row{name, figures})
}

// Add appends a point to a line.
func (l *Line) Add(x, y float64) { l.Points = append(l.Points, Point{x, y}) }

// Write writes the report into a folder: Name.json, Name.md, and Name-Plot.svg for each
// plot.
func (r *Report) Write(dir string) error {
	text, err := r.Markdown()
	if err != nil {
		return fmt.Errorf("write report %s: %w", r.Name, err)
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("write report %s: %w", r.Name, err)
	}
	files := map[string][]byte{r.Name + ".json": append(data, '\n'), r.Name + ".md": text}
	for i := range r.Plots {
		p := &r.Plots[i]
		if files[r.Name+"-"+p.Name+".svg"], err = p.SVG(); err != nil {
			return fmt.Errorf("write report %s: %w", r.Name, err)
		}
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return fmt.Errorf("write report %s: %w", r.Name, err)
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return fmt.Errorf("write report %s: %w", r.Name, err)
		}
	}
	return nil
}

// Markdown returns the report as a Markdown page that links its plots.
func (r *Report) Markdown() ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s; mean of seeds %s.\n", r.Title, r.Setup, joinSeeds(r.Seeds))
	for i := range r.Tables {
		if err := r.Tables[i].markdown(&b); err != nil {
			return nil, fmt.Errorf("table %s: %w", r.Tables[i].Title, err)
		}
	}
	for _, p := range r.Plots {
		fmt.Fprintf(&b, "\n![%s](%s-%s.svg)\n", p.Title, r.Name, p.Name)
	}
	return []byte(b.String()), nil
}

func joinSeeds(all []uint64) string {
	names := make([]string, 0, len(all))
	for _, s := range all {
		names = append(names, strconv.FormatUint(s, 10))
	}
	return strings.Join(names, ", ")
}

func (t *Table) markdown(b *strings.Builder) error {
	fmt.Fprintf(b, "\n## %s\n\n| %s |", t.Title, t.Case)
	for _, c := range t.Columns {
		name := c.Name
		if c.Unit != "" {
			name += ", " + c.Unit
		}
		fmt.Fprintf(b, " %s |", name)
	}
	fmt.Fprintf(b, "\n|---|%s\n", strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		if len(row.Figures) != len(t.Columns) {
			return fmt.Errorf("row %s: %d and %d: %w", row.Case, len(row.Figures), len(t.Columns), ErrWidth)
		}
		fmt.Fprintf(b, "| %s |", row.Case)
		for i, f := range row.Figures {
			fmt.Fprintf(b, " %.*f |", t.Columns[i].Decimals, f)
		}
		b.WriteByte('\n')
	}
	return nil
}
