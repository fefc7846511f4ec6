package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"wellgw/internal/admin"
	"wellgw/internal/rolectl"
)

func rolesCommand() *cli.Command {
	return &cli.Command{
		Name: "roles", Usage: "print the plan for engines' roles, who owns it, and what is under way",
		ArgsUsage: "[OPERATOR-FILE]",
		Flags:     adminFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return printPage(ctx, cmd, admin.RolesPath, func(w io.Writer, s rolectl.Status) { printRoles(w, s, time.Now()) })
		},
	}
}

func printRoles(w io.Writer, s rolectl.Status, now time.Time) {
	owner := s.Leader
	if s.IsLeader {
		owner += " (this gateway)"
	}
	fmt.Fprintf(w, "owner %s, fence %d\n", owner, s.FencingToken)
	if s.DryRun {
		fmt.Fprintln(w, "dry run: nothing is changed")
	}
	ago := func(t time.Time) string { return now.Sub(t).Round(time.Second).String() + " ago" }
	if s.IsLeader {
		fmt.Fprintf(w, "plan (%s): %s\n", ago(s.Plan.At), s.Plan.Reason)
		fmt.Fprintf(w, "demand in engines: read %.1f of %.1f, write %.1f of %.1f; service foreseen %.3f\n",
			s.Plan.Demand[0], s.Plan.Capacity[0], s.Plan.Demand[1], s.Plan.Capacity[1], s.Plan.Before.Mean)
	} else {
		fmt.Fprintln(w, "the plan is its owner's to tell")
	}
	changes := newTable(w, "engine", "from", "to", "step", "for", "begun", "owner", "fence", "why")
	for _, r := range s.Changes {
		changes.AppendRow(table.Row{r.Engine, r.From, r.To, r.Step, now.Sub(r.StepStartedAt).Round(time.Second), ago(r.StartedAt), r.Leader, r.FencingToken, r.Reason})
	}
	changes.Render()
	history := newTable(w, "when", "engine", "to", "what", "why")
	for _, change := range s.History {
		what := string(change.Outcome)
		if what == "" {
			what = "begun"
		}
		history.AppendRow(table.Row{ago(change.At), change.Engine, change.To, what, change.Reason})
	}
	history.Render()
}
