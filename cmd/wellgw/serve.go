package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"wellgw/internal/config"
	"wellgw/internal/logging"
)

// logFlushTimeout bounds the final flush of the log at exit.
const logFlushTimeout = 200 * time.Millisecond

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "serve the platform's clients, or an operator's chat API", Action: serve,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Usage: "serve the chat API that `FILE` sets up, not the platform"},
			&cli.BoolFlag{Name: "verbose", Usage: "log every failed attempt"},
		},
	}
}

// serve runs a gateway until it shuts down.
func serve(ctx context.Context, cmd *cli.Command) error {
	ignoreWriteErrorSignals()
	lines := logging.NewQueue(os.Stderr)
	defer lines.Close(logFlushTimeout)
	log := logging.New(lines, cmd.Bool("verbose"))
	if path := cmd.String("operator"); path != "" {
		o, err := config.ReadOperator(path)
		if err != nil {
			return err
		}
		return newChatGateway(path, o, log).run(ctx)
	}
	p, err := config.ReadPlatform(os.Getenv)
	if err != nil {
		return err
	}
	g, err := newPlatformGateway(p, log)
	if err != nil {
		return err
	}
	return g.run(ctx)
}
