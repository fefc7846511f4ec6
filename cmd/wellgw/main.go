// Command wellgw is the gateway between clients and model engines. This package only connects the other
// packages, which make all decisions about requests.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"wellgw/internal/config"
)

func main() {
	app := &cli.Command{
		Name: "wellgw", Usage: "a gateway between clients and model engines",
		Commands: []*cli.Command{
			serveCommand(),
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

var errNoFile = errors.New("check: name a file")

// check parses a file as serve does. A file with a "settings" object is the platform's configuration, any
// other an operator's file.
func check(_ context.Context, cmd *cli.Command) error {
	path := cmd.Args().First()
	if path == "" {
		return errNoFile
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
