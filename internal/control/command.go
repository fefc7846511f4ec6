package control

import (
	"errors"
	"strings"
)

// Verb names a command.
type Verb string

// The commands that operators send.
const (
	Status   Verb = "status"    // reports whether this process can serve
	MaintOn  Verb = "maint-on"  // ejects engine EngineID: no new request is sent to it
	MaintOff Verb = "maint-off" // restores engine EngineID
	Standby  Verb = "standby"   // starts a drain: clients are directed to other gateways
	Active   Verb = "active"    // ends a drain
)

// Command is a parsed command line.
type Command struct {
	Verb     Verb
	EngineID string // engine of MaintOn and MaintOff; empty for other commands
}

// ErrMalformedCommand is returned by Parse for a line that is not a command.
var ErrMalformedCommand = errors.New("malformed command")

// Parse parses a command line without its line terminator. White space around words is ignored.
// It returns ErrMalformedCommand for an unknown verb, a missing engine ID or extra words.
func Parse(line string) (Command, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, ErrMalformedCommand
	}
	command := Command{Verb: Verb(words[0])}
	switch command.Verb {
	case Status, Standby, Active:
		if len(words) != 1 {
			return Command{}, ErrMalformedCommand
		}
	case MaintOn, MaintOff:
		if len(words) != 2 {
			return Command{}, ErrMalformedCommand
		}
		command.EngineID = words[1]
	default:
		return Command{}, ErrMalformedCommand
	}
	return command, nil
}
