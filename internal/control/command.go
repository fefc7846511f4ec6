package control

import (
	"errors"
	"strings"
)

// Verb names a command.
type Verb string

// The commands that operators send.
const (
	Status   Verb = "status"    // can this process serve?
	MaintOn  Verb = "maint-on"  // eject engine ID: nothing new is sent to it
	MaintOff Verb = "maint-off" // restore engine ID
	Standby  Verb = "standby"   // drain: send clients away
	Active   Verb = "active"    // end the drain
)

// Command is one parsed line.
type Command struct {
	Verb     Verb
	EngineID string // engine that MaintOn and MaintOff are about; empty for the others
}

// ErrMalformedCommand is returned by Parse for a line that is not a command.
var ErrMalformedCommand = errors.New("malformed command")

// Parse parses one line, given without its line end. White space around the words is ignored.
// It returns ErrMalformedCommand for an unknown verb, a missing engine ID and surplus words.
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
