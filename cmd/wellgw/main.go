// Command wellgw is the gateway: it wires the packages together and decides
// nothing. Without a sub-command it serves, as the platform starts it.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"wellgw/internal/config"
)

func main() {
	serveFlags := []cli.Flag{
		&cli.BoolFlag{Name: "verbose", Usage: "log every failed attempt"},
	}
	serve := func(ctx context.Context, cmd *cli.Command) error {
		p, err := config.ReadPlatform(os.Getenv)
		if err != nil {
			return err
		}
		return servePlatform(ctx, p, cmd.Bool("verbose"))
	}
	app := &cli.Command{
		Name: "wellgw", Usage: "a gateway between clients and model engines",
		Flags: serveFlags, Action: serve,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve the platform's clients", Flags: serveFlags, Action: serve},
			{Name: "version", Usage: "print the version", Action: func(_ context.Context, cmd *cli.Command) error {
				_, err := fmt.Fprintln(cmd.Root().Writer, "wellgw", version())
				return err
			}},
			{Name: "check", Usage: "check a configuration and say what is wrong", ArgsUsage: "FILE", Action: check},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wellgw:", err)
		os.Exit(1)
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	path := cmd.Args().First()
	if path == "" {
		return fmt.Errorf("check: name a file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	if _, err := config.ParsePlatform(raw, func(string) string { return "" }); err != nil {
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
