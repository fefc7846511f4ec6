package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"wellgw/internal/admin"
	"wellgw/internal/config"
)

func enginesCommand() *cli.Command {
	return &cli.Command{
		Name: "engines", Usage: "print the engines as a running gateway now sees them, and why one is out",
		ArgsUsage: "[OPERATOR-FILE]", Action: engines,
		Flags: append(adminFlags(),
			&cli.BoolFlag{Name: "out", Usage: "only those that get no new work or are not confirmed"}),
	}
}

// adminFlags returns the flags of commands that query a running gateway.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` of the gateway's admin listener; without it, the operator's file says"},
		&cli.BoolFlag{Name: "json", Usage: "print all of it as JSON"},
	}
}

// printPage fetches an admin page from the gateway that the command line selects. It prints the page
// with render, or as JSON with --json.
func printPage[T any](ctx context.Context, cmd *cli.Command, path string, render func(io.Writer, T)) error {
	addr, err := adminAddress(cmd)
	if err != nil {
		return err
	}
	var page T
	if err := admin.FetchPage(ctx, addr, path, &page); err != nil {
		return err
	}
	w := cmd.Root().Writer
	if cmd.Bool("json") {
		e := jsoniter.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(page)
	}
	render(w, page)
	return nil
}

// adminAddress returns the address of the admin listener: the value of --admin, else that in the operator's
// file.
func adminAddress(cmd *cli.Command) (string, error) {
	addr := cmd.String("admin")
	if path := cmd.Args().First(); addr == "" && path != "" {
		o, err := config.ReadOperator(path)
		if err != nil {
			return "", err
		}
		if o.Admin == nil {
			return "", fmt.Errorf("%s: the file has no admin.listen", cmd.Name)
		}
		addr = o.Admin.Listen
	}
	if addr == "" {
		return "", fmt.Errorf("%s: name the operator's file, or --admin ADDRESS", cmd.Name)
	}
	return addr, nil
}

func engines(ctx context.Context, cmd *cli.Command) error {
	return printPage(ctx, cmd, admin.EnginesPath, func(w io.Writer, v admin.View) { printEngines(w, v, cmd.Bool("out")) })
}

// newTable returns a table whose Render method writes to w.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

func printEngines(w io.Writer, v admin.View, outOnly bool) {
	t := newTable(w, "engine", "address", "role", "zone", "cell", "state", "sure", "seen", "up", "sources", "why")
	inService := 0
	for _, e := range v.Engines {
		if e.State == "in" {
			inService++
		}
		if outOnly && e.State == "in" && e.Confidence == "confirmed" {
			continue
		}
		t.AppendRow(table.Row{e.ID, e.Address, e.Role, e.Zone, e.Cell, e.State, e.Confidence, formatMilliseconds(e.AgeMS), formatMilliseconds(e.UpMS), sourceList(e.Sources), e.StateReason})
	}
	t.Render()
	sources := newTable(w, "source", "engines", "index", "believed", "in doubt")
	for _, src := range v.Sources {
		distrust := ""
		if src.DistrustReason != "" {
			distrust = src.DistrustReason + " for " + formatMilliseconds(src.UntrustedMS)
		}
		sources.AppendRow(table.Row{src.Source, src.Engines, src.Index, formatMilliseconds(src.AgeMS) + " ago", distrust})
	}
	sources.Render()
	fmt.Fprintf(w, "%d of %d engines take new work; %d gateways share them\n", inService, len(v.Engines), v.Gateways)
	if v.Consul.Agent != "" {
		fmt.Fprintf(w, "Consul agent %s: %d queries, %d failed, %d without news, %.1f MB\n",
			v.Consul.Agent, v.Consul.Queries, v.Consul.Failed, v.Consul.Unchanged, float64(v.Consul.Bytes)/1e6)
	}
}

func sourceList(names []string) string {
	if len(names) == 1 {
		return names[0]
	}
	return fmt.Sprintf("%d sources", len(names))
}

// formatMilliseconds formats a duration in milliseconds; values up to 0 are unknown and print as "-".
func formatMilliseconds(ms int64) string {
	if ms <= 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
