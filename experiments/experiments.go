// Package experiments stages experiments: gateways as programs of their own, before fakes
// of all that is outside, under load. An experiment states bounds, and fails if one
// is missed.
package experiments

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Experiment is one thing to be staged.
type Experiment struct {
	Name, About string
	Run         func(ctx context.Context, opt Options) (*Report, error)
}

// Options are what an experiment is run with.
type Options struct {
	Quick    bool   // ends within 50 s
	Program  string // the gateway's binary
	Baseline string // a former version's, to compare with; "" for none
	WorkDir  string // a folder for files, removed after
	Out      io.Writer
	Seed     uint64
	Seeds    int // how many seeds from Seed on, where an experiment plays several; 0 for its usual number

	Schedule string // a file of faults to play in place of those of the seed; "" for those
	Shrink   bool   // a schedule that fails is cut to the shortest that still does
}

// Progress prints a line on the course of an experiment, with the time since its start.
func (o Options) Progress(begun time.Time, format string, args ...any) {
	fmt.Fprintf(o.Out, "%6.1fs  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

// Report is what came of an experiment.
type Report struct {
	Tables []Table
	Charts []Chart
	Bounds []Bound
	Notes  []string
}

// Table is a table of results.
type Table struct {
	Title string
	Head  []string
	Rows  [][]any
}

// Chart is a chart of lines over x.
type Chart struct {
	Name, Title, X, Y string
	Lines             []Line
}

// Line is one line of a chart.
type Line struct {
	Name string
	At   [][2]float64
}

// Bound is a statement that must hold.
type Bound struct {
	Statement string
	Met       bool
	Observed  string
}

// AddBound states a bound and what was found.
func (r *Report) AddBound(held bool, what, format string, args ...any) {
	r.Bounds = append(r.Bounds, Bound{Statement: what, Met: held, Observed: fmt.Sprintf(format, args...)})
}

// Missed returns the bounds that did not hold.
func (r *Report) Missed() []Bound {
	var out []Bound
	for _, b := range r.Bounds {
		if !b.Met {
			out = append(out, b)
		}
	}
	return out
}

func (t Table) writer() table.Writer {
	w := table.NewWriter()
	w.SetTitle(t.Title)
	w.SetStyle(table.StyleLight)
	head := table.Row{}
	for _, h := range t.Head {
		head = append(head, h)
	}
	w.AppendHeader(head)
	for _, r := range t.Rows {
		w.AppendRow(table.Row(r))
	}
	return w
}

// all returns the tables, the one of the bounds last.
func (r *Report) all() []Table {
	bounds := Table{Title: "Bounds", Head: []string{"bound", "held", "found"}}
	for _, b := range r.Bounds {
		held := "yes"
		if !b.Met {
			held = "NO"
		}
		bounds.Rows = append(bounds.Rows, []any{b.Statement, held, b.Observed})
	}
	return append(append([]Table(nil), r.Tables...), bounds)
}

// Print writes the tables.
func (r *Report) Print(w io.Writer) {
	for _, t := range r.all() {
		fmt.Fprintln(w, t.writer().Render())
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
}

// Write keeps tables and charts in a folder.
func (r *Report) Write(dir, name, about string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n", name, about)
	for _, t := range r.all() {
		w := t.writer()
		w.SetTitle("")
		fmt.Fprintf(&b, "## %s\n\n%s\n\n", t.Title, w.RenderMarkdown())
	}
	for _, n := range r.Notes {
		fmt.Fprintf(&b, "%s\n\n", n)
	}
	for _, c := range r.Charts {
		if err := c.save(filepath.Join(dir, c.Name+".svg")); err != nil {
			return err
		}
		fmt.Fprintf(&b, "![%s](%s.svg)\n\n", c.Title, c.Name)
	}
	if err := os.WriteFile(filepath.Join(dir, "README.md"), []byte(strings.TrimRight(b.String(), "\n")+"\n"), 0o644); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

func (c Chart) save(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Legend.Top = true
	var lines []any
	for _, l := range c.Lines {
		pts := make(plotter.XYs, len(l.At))
		for i, at := range l.At {
			pts[i].X, pts[i].Y = at[0], at[1]
		}
		lines = append(lines, l.Name, pts)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("chart %s: %w", c.Name, err)
	}
	if err := p.Save(24*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("chart %s: %w", c.Name, err)
	}
	return nil
}
