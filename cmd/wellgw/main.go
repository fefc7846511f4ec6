// Command wellgw is the gateway: it wires the packages together and decides
// nothing.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"wellgw/internal/config"
	"wellgw/internal/logging"
)

func main() {
	app := &cli.Command{
		Name: "wellgw", Usage: "a gateway between clients and model engines",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve the platform's clients, or an operator's chat API", Action: serve, Flags: []cli.Flag{
				&cli.StringFlag{Name: "operator", Usage: "serve the chat API that `FILE` sets up, not the platform"},
				&cli.BoolFlag{Name: "verbose", Usage: "log every failed attempt"},
			}},
			enginesCommand(),
			rolesCommand(),
			peersCommand(),
			{Name: "check", Usage: "say what is wrong with a configuration", ArgsUsage: "FILE", Action: check},
			{Name: "version", Usage: "print the version", Action: func(_ context.Context, cmd *cli.Command) error {
				_, err := fmt.Fprintln(cmd.Root().Writer, "wellgw", version())
				return err
			}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wellgw:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ) // writes fail with EPIPE and EFBIG; nobody who reads the log, and no full disk, ends the process
	lines := logging.NewQueue(os.Stderr)
	defer lines.Close(lastLines)
	log := logging.New(lines, cmd.Bool("verbose"))
	if path := cmd.String("operator"); path != "" {
		o, err := config.ReadOperator(path)
		if err != nil {
			return err
		}
		return chatGateway(path, o, log).run(ctx)
	}
	p, err := config.ReadPlatform(os.Getenv)
	if err != nil {
		return err
	}
	g, err := platformGateway(p, log)
	if err != nil {
		return err
	}
	return g.run(ctx)
}

// check reads a file as serve would. The platform's object is known by its settings.
func check(_ context.Context, cmd *cli.Command) error {
	path := cmd.Args().First()
	if path == "" {
		return errors.New("check: name a file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	if jsoniter.Get(raw, "settings").ValueType() == jsoniter.ObjectValue {
		_, err = config.ParsePlatform(raw, func(string) string { return "" })
	} else {
		_, err = config.ParseOperator(raw)
	}
	if err != nil {
		return fmt.Errorf("check: %s: %w", path, err)
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, "ok")
	return err
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
