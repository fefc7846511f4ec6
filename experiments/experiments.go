// Package experiments defines experiments and their reports. An experiment runs gateways as separate
// processes under load, with fakes for all external systems. It checks bounds, and fails if one is not met.
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

// Experiment is one experiment that can be run by name.
type Experiment struct {
	Name, About string
	Run         func(ctx context.Context, opt Options) (*Report, error)
}

// Options are the parameters of a run of an experiment.
type Options struct {
	Quick    bool   // a short run, which ends within 50 s
	Program  string // the gateway's binary
	Baseline string // the binary of a former version to compare with; "" for none
	WorkDir  string // directory for files, removed after the run
	Out      io.Writer
	Seed     uint64
	Seeds    int // number of consecutive seeds from Seed, if the experiment runs several; 0 = its default

	Schedule string // file with a fault schedule to replay; "" = generate one from the seed
	Shrink   bool   // reduces a failing schedule to a shortest one that still fails
}

// Progress prints a progress line, prefixed with the time since the start of the experiment.
func (o Options) Progress(started time.Time, format string, args ...any) {
	fmt.Fprintf(o.Out, "%6.1fs  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// Report is the result of an experiment.
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

// Chart is a line chart.
type Chart struct {
	Name, Title, X, Y string
	Lines             []Line
}

// Line is one series of a chart, as points (x, y).
type Line struct {
	Name string
	At   [][2]float64
}

// Bound is a condition that the result must meet, and the observed value.
type Bound struct {
	Statement string
	Met       bool
	Observed  string
}

// AddBound adds a bound, whether it was met, and the observed value.
func (r *Report) AddBound(met bool, statement, format string, args ...any) {
	r.Bounds = append(r.Bounds, Bound{Statement: statement, Met: met, Observed: fmt.Sprintf(format, args...)})
}

// Missed returns the bounds that were not met.
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

// all returns the tables, followed by the table of the bounds.
func (r *Report) all() []Table {
	bounds := Table{Title: "Bounds", Head: []string{"bound", "held", "found"}}
	for _, b := range r.Bounds {
		met := "yes"
		if !b.Met {
			met = "NO"
		}
		bounds.Rows = append(bounds.Rows, []any{b.Statement, met, b.Observed})
	}
	return append(append([]Table(nil), r.Tables...), bounds)
}

// Print writes the tables and notes as text.
func (r *Report) Print(w io.Writer) {
	for _, t := range r.all() {
		fmt.Fprintln(w, t.writer().Render())
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
}

// Write writes the report as README.md, and its charts as SVG files, into a directory.
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
