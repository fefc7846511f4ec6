// Command further repeats the faults that the review saw beyond its three cases. The variable FAULT names one of
// them: choices, gone, mass, mark, hang, standby. Like a case it exits with 1 if the rule was broken, with 0 if it
// held and with 2 if it could not run, and TROUBLE=0 leaves out the disruption.
package main

import (
	"os"

	"review/lab"
)

func main() {
	faults := map[string]func(*lab.Case) int{
		"choices": choices, "gone": gone, "mass": mass, "mark": mark, "hang": hang, "standby": standby,
	}
	lab.Main(func(c *lab.Case) int {
		fault, known := faults[os.Getenv("FAULT")]
		if !known {
			c.Log("FAULT names none of the faults")
			return lab.CouldNot
		}
		return fault(c)
	})
}

// verdict returns the exit code for a number of breaches.
func verdict(breaches int) int {
	if breaches > 0 {
		return lab.Broken
	}
	return lab.Held
}
