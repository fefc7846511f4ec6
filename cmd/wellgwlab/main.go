// Command wellgwlab runs experiments against fakes of external systems and checks their bounds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wellgw/experiments"
	"wellgw/experiments/chatrun"
	"wellgw/experiments/consulrun"
	"wellgw/experiments/fleetrun"
	"wellgw/experiments/fleetsim"
	"wellgw/experiments/hostile"
	"wellgw/experiments/membersrun"
	"wellgw/experiments/rolesrun"
	"wellgw/experiments/soak"
	"wellgw/internal/openai/conformance"
)

// allExperiments returns the available experiments.
func allExperiments() []experiments.Experiment {
	return []experiments.Experiment{consulrun.Experiment(), rolesrun.Experiment(), chatrun.Experiment(), fleetsim.Experiment(), fleetrun.Experiment(), membersrun.Experiment(), soak.Experiment(), soak.Drains(), hostile.Experiment()}
}

func main() {
	app := &cli.Command{
		Name: "wellgwlab", Usage: "load and experiments on fakes of outside systems",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the experiments", Action: listExperiments},
			{Name: "run", Usage: "stage an experiment; exits with 1 if a bound is missed", ArgsUsage: "NAME", Action: run, Flags: []cli.Flag{
				&cli.BoolFlag{Name: "quick", Usage: "a short form that ends within 50 s"},
				&cli.BoolFlag{Name: "write", Usage: "keep tables and charts under docs/results/NAME"},
				&cli.StringFlag{Name: "program", Usage: "the gateway's `FILE`; default: wellgw beside this program"},
				&cli.StringFlag{Name: "former", Usage: "a former version's gateway `FILE`, to compare with"},
				&cli.Uint64Flag{Name: "seed", Aliases: []string{"first"}, Value: 1, Usage: "of the load; the first, where several are played"},
				&cli.IntFlag{Name: "seeds", Usage: "play so many seeds, where an experiment plays several"},
				&cli.StringFlag{Name: "schedule", Usage: "play the faults in `FILE`, as an earlier run has written them, where the experiment has a schedule"},
				&cli.BoolFlag{Name: "shrink", Usage: "cut a schedule that fails to the shortest that still does"},
				&cli.StringFlag{Name: "keep", Usage: "keep the gateways' files and logs in `FOLDER`"},
			}},
			{Name: "conformance", Usage: "play the chat API against a URL; exits with 1 if a case fails", Action: runConformance, Flags: []cli.Flag{
				&cli.StringFlag{Name: "url", Required: true, Usage: "base `URL`, without /v1"},
				&cli.StringFlag{Name: "key", Usage: "bearer", Sources: cli.EnvVars("WELLGW_KEY")},
				&cli.StringFlag{Name: "model", Required: true, Usage: "under a free contract"},
				&cli.StringFlag{Name: "order-model", Usage: "under a contract that must not run twice"},
			}},
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wellgwlab:", err)
		os.Exit(1)
	}
}

func listExperiments(_ context.Context, cmd *cli.Command) error {
	for _, e := range allExperiments() {
		fmt.Fprintf(cmd.Root().Writer, "%-12s %s\n", e.Name, e.About)
	}
	return nil
}

func run(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	for _, e := range allExperiments() {
		if e.Name == name {
			return runExperiment(ctx, cmd, e)
		}
	}
	return fmt.Errorf("run: no experiment %q; see list", name)
}

func runConformance(ctx context.Context, cmd *cli.Command) error {
	r := &experiments.Report{}
	t := experiments.Table{Title: "Conformance", Head: []string{"case", "passed", "took", "detail"}}
	failed := 0
	for _, c := range conformance.Run(ctx, conformance.Options{
		BaseURL: cmd.String("url"), Key: cmd.String("key"), Model: cmd.String("model"), OrderModel: cmd.String("order-model"),
	}) {
		if !c.Passed {
			failed++
		}
		t.Rows = append(t.Rows, []any{c.Name, c.Passed, c.Duration.Round(time.Millisecond), c.Detail})
	}
	r.Tables = append(r.Tables, t)
	r.Print(cmd.Root().Writer)
	if failed > 0 {
		return fmt.Errorf("conformance: %d cases failed", failed)
	}
	return nil
}

func runExperiment(ctx context.Context, cmd *cli.Command, e experiments.Experiment) error {
	program := cmd.String("program")
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("run: %w", err)
		}
		program = filepath.Join(filepath.Dir(self), "wellgw")
	}
	workDir, err := makeWorkDir(cmd.String("keep"))
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	if cmd.String("keep") == "" {
		defer os.RemoveAll(workDir)
	}
	out := cmd.Root().Writer
	r, err := e.Run(ctx, experiments.Options{Quick: cmd.Bool("quick"), Program: program, Baseline: cmd.String("former"), WorkDir: workDir, Out: out, Seed: cmd.Uint64("seed"), Seeds: cmd.Int("seeds"),
		Schedule: cmd.String("schedule"), Shrink: cmd.Bool("shrink"),
	})
	if err != nil {
		return fmt.Errorf("run %s: %w", e.Name, err)
	}
	r.Print(out)
	if cmd.Bool("write") {
		if err := r.Write(filepath.Join("docs", "results", e.Name), e.Name, e.About); err != nil {
			return err
		}
	}
	if missed := r.Missed(); len(missed) > 0 {
		return fmt.Errorf("run %s: %d bounds missed", e.Name, len(missed))
	}
	return nil
}

func makeWorkDir(keep string) (string, error) {
	if keep == "" {
		return os.MkdirTemp("", "wellgwlab")
	}
	return keep, os.MkdirAll(keep, 0o755)
}
